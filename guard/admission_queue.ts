import { err, ok, type Result } from 'neverthrow';
import { makeNotRunRefusal, RefusalReason, type Deadline, type Refusal } from '../contract/mod.ts';
import type { Subscription, TimerService } from '../timer/mod.ts';

/**
 * Mean execution times left to a call that waits for a start. A start whose answer comes too late is
 * lost to the other calls.
 */
const RATED_EXECUTIONS = 2;

/** A call that requests a slot. */
export interface AdmissionRequest {
  /** Value of its answer; when the queue is full, the lowest is refused first. */
  weight: number;
  deadline: Deadline;
  signal: AbortSignal;
  /** Whether it waits for the target's rate to permit its start; false by default. */
  acceptsDelay?: boolean;
}

/** Limits of an {@linkcode AdmissionQueue}, read at each use. */
export interface AdmissionLimits {
  /** Number of calls that may run concurrently. */
  readonly limit: number;
  /** Number of calls that may be queued. */
  readonly queueLength: number;
  /** Longest time in the queue, in milliseconds. */
  readonly queueWaitMs: number;
  /** Expected duration of one execution, in milliseconds. */
  readonly serviceMs: number;
  /** Time until the target's rate permits a call to start, in milliseconds; zero by default. */
  readonly startDelayMs?: number;
  /** Time from one start to the next at the target's rate, in milliseconds; zero by default. */
  readonly startIntervalMs?: number;
  /** Called for each admitted call. */
  readonly onAdmit?: () => void;
}

interface QueuedCall extends AdmissionRequest {
  expiry: Subscription;
  resolve: (result: Result<void, Refusal>) => void;
}

/** Admits calls to a target up to a limit and queues a few more for a short time. */
export class AdmissionQueue {
  readonly #timer: TimerService;
  readonly #getLimits: () => AdmissionLimits;
  readonly #queue: QueuedCall[] = [];
  #inFlight = 0;
  #nextStart: Subscription | undefined;

  /**
   * @param timer The clock.
   * @param getLimits Returns the limits in force.
   */
  constructor(timer: TimerService, getLimits: () => AdmissionLimits) {
    this.#timer = timer;
    this.#getLimits = getLimits;
  }

  /** @returns Number of running calls. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** @returns Number of queued calls. */
  get queued(): number {
    return this.#queue.length;
  }

  /**
   * Acquires a slot and queues the call if none is free. Each acquired slot
   * must be released with {@linkcode AdmissionQueue.release}.
   *
   * @param request The call that requests a slot.
   * @returns Nothing once the call may run, or a refusal.
   */
  async acquire(request: AdmissionRequest): Promise<Result<void, Refusal>> {
    if (this.#canStart && this.#queue.length === 0) {
      this.#admit();
      return ok(undefined);
    }
    if (!this.#makeRoom(request)) return err(this.#makeBusyRefusal());
    return new Promise((resolve) => {
      this.#enqueue(request, resolve);
    });
  }

  /** Releases a slot and admits the next queued call. */
  release(): void {
    this.#inFlight -= 1;
    this.admitQueued();
  }

  /** Admits queued calls while slots are free, for example after the limit has risen. */
  admitQueued(): void {
    while (this.#canStart) {
      const next = this.#dequeue();
      if (!next) return;
      this.#admit();
      next.resolve(ok(undefined));
    }
    this.#scheduleNextStart();
  }

  /** Refuses queued calls that can no longer start in time, for example after the rate has fallen. */
  refuseLate(): void {
    const byWeight = [...this.#queue].sort((first, second) => second.weight - first.weight);
    let ahead = 0;
    for (const queued of byWeight) {
      if (this.#startsInTime(queued, ahead)) {
        ahead += 1;
        continue;
      }
      this.#remove(queued);
      this.#resolve(queued, err(this.#makeBusyRefusal()));
    }
  }

  /**
   * Refuses all queued calls.
   *
   * @param refusal The refusal that each of them gets.
   */
  refuseQueued(refusal: Refusal): void {
    for (const queued of this.#queue.splice(0)) this.#resolve(queued, err(refusal));
  }

  #admit(): void {
    this.#inFlight += 1;
    this.#getLimits().onAdmit?.();
  }

  get #canStart(): boolean {
    const { limit, startDelayMs = 0 } = this.#getLimits();
    return this.#inFlight < limit && startDelayMs === 0;
  }

  /** Admits queued calls when the target's rate permits the next start. */
  #scheduleNextStart(): void {
    this.#nextStart?.cancel();
    const { startDelayMs = 0 } = this.#getLimits();
    if (startDelayMs === 0 || this.#queue.length === 0) return;
    this.#nextStart = this.#timer.after(startDelayMs, () => {
      this.admitQueued();
    });
  }

  #makeRoom(request: AdmissionRequest): boolean {
    const { queueLength } = this.#getLimits();
    const ahead = this.#queue.filter((each) => each.weight >= request.weight).length;
    if (!this.#startsInTime(request, ahead)) return false;
    if (this.#queue.length < queueLength) return true;
    return this.#refuseBelow(request.weight);
  }

  /** Reports whether a call that is queued behind others would start before it has to be refused. */
  #startsInTime(request: AdmissionRequest, ahead: number): boolean {
    const { limit, serviceMs, startIntervalMs = 0 } = this.#getLimits();
    const isSlotFree = this.#inFlight + ahead < limit;
    const slotDelayMs = isSlotFree ? 0 : ((ahead + 1) * serviceMs) / Math.max(1, limit);
    if (slotDelayMs + serviceMs > request.deadline.leftMs) return false;
    return startIntervalMs === 0 || this.#isRateDelayAcceptable(request, ahead);
  }

  #isRateDelayAcceptable(request: AdmissionRequest, ahead: number): boolean {
    const { queueWaitMs, serviceMs, startDelayMs = 0, startIntervalMs = 0 } = this.#getLimits();
    const { leftMs } = request.deadline;
    const longestMs = request.acceptsDelay === true ? queueWaitMs : 0;
    const delayMs = startDelayMs + ahead * startIntervalMs;
    return delayMs <= longestMs && delayMs + RATED_EXECUTIONS * serviceMs <= leftMs;
  }

  #refuseBelow(weight: number): boolean {
    const lowest = this.#findLowest();
    if (!lowest || lowest.weight >= weight) return false;
    this.#remove(lowest);
    this.#resolve(lowest, err(this.#makeBusyRefusal()));
    return true;
  }

  #findLowest(): QueuedCall | undefined {
    let lowest: QueuedCall | undefined;
    for (const each of this.#queue) {
      if (!lowest || each.weight <= lowest.weight) lowest = each;
    }
    return lowest;
  }

  #enqueue(request: AdmissionRequest, resolve: (result: Result<void, Refusal>) => void): void {
    const refuse = (refusal: Refusal) => {
      this.#remove(queued);
      this.#resolve(queued, err(refusal));
    };
    const onAbort = () => {
      refuse(makeNotRunRefusal(RefusalReason.Cancelled, 'the caller left while the call waited'));
    };
    const waitMs = Math.min(this.#getLimits().queueWaitMs, request.deadline.leftMs);
    const queued: QueuedCall = {
      ...request,
      expiry: this.#timer.after(waitMs, () => {
        refuse(this.#makeBusyRefusal());
      }),
      resolve: (result) => {
        request.signal.removeEventListener('abort', onAbort);
        resolve(result);
      },
    };
    this.#queue.push(queued);
    this.#scheduleNextStart();
    request.signal.addEventListener('abort', onAbort);
    if (request.signal.aborted) onAbort();
  }

  #dequeue(): QueuedCall | undefined {
    let next: QueuedCall | undefined;
    for (const each of [...this.#queue]) {
      if (each.deadline.leftMs < this.#getLimits().serviceMs) {
        this.#remove(each);
        this.#resolve(
          each,
          err(makeNotRunRefusal(RefusalReason.DeadlinePassed, 'too little time left to run')),
        );
      } else if (!next || each.weight > next.weight) {
        next = each;
      }
    }
    if (next) this.#remove(next);
    next?.expiry.cancel();
    return next;
  }

  #remove(queued: QueuedCall): void {
    const index = this.#queue.indexOf(queued);
    if (index >= 0) this.#queue.splice(index, 1);
  }

  #resolve(queued: QueuedCall, result: Result<void, Refusal>): void {
    queued.expiry.cancel();
    queued.resolve(result);
  }

  #makeBusyRefusal(): Refusal {
    const { limit, startDelayMs = 0, startIntervalMs = 0 } = this.#getLimits();
    const detail = `target runs ${this.#inFlight} of ${limit} calls and ${this.#queue.length} wait`;
    if (startIntervalMs > 0) {
      const retryAfterMs = startDelayMs + this.#queue.length * startIntervalMs;
      const rated = `${detail}, at one start in ${Math.round(startIntervalMs)} ms`;
      return { ...makeNotRunRefusal(RefusalReason.TargetRateLimited, rated), retryAfterMs };
    }
    return {
      ...makeNotRunRefusal(RefusalReason.TargetBusy, detail),
      retryAfterMs: this.#getLimits().queueWaitMs,
    };
  }
}
