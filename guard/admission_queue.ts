import { err, ok, type Result } from 'neverthrow';
import { makeNotRunRefusal, RefusalReason, type Deadline, type Refusal } from '../contract/mod.ts';
import type { Subscription, TimerService } from '../timer/mod.ts';

/** A call that asks to run. */
export interface AdmissionRequest {
  /** Value of its answer; the lowest is shed first. */
  weight: number;
  deadline: Deadline;
  signal: AbortSignal;
}

/** Bounds of a {@linkcode AdmissionQueue}, read at each use. */
export interface AdmissionBounds {
  /** Calls that may run at once. */
  readonly limit: number;
  /** Calls that may wait. */
  readonly queueLength: number;
  /** Longest wait, in milliseconds. */
  readonly queueWaitMs: number;
  /** Expected time of one execution, in milliseconds. */
  readonly serviceMs: number;
  /** Called with each call that is admitted. */
  readonly onAdmit?: () => void;
}

interface Waiting extends AdmissionRequest {
  expiry: Subscription;
  resolve: (result: Result<void, Refusal>) => void;
}

/** Admits calls to a target up to a limit and holds a few more in a short queue. */
export class AdmissionQueue {
  readonly #timer: TimerService;
  readonly #bounds: () => AdmissionBounds;
  readonly #waiting: Waiting[] = [];
  #inFlight = 0;

  /**
   * @param timer The source of time.
   * @param bounds Gives the bounds in force.
   */
  constructor(timer: TimerService, bounds: () => AdmissionBounds) {
    this.#timer = timer;
    this.#bounds = bounds;
  }

  /** @returns Calls that run. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** @returns Calls that wait. */
  get queued(): number {
    return this.#waiting.length;
  }

  /**
   * Waits for a slot. Each admission must be matched by a call of {@linkcode AdmissionQueue.release}.
   *
   * @param applicant The call that asks to run.
   * @returns Nothing once it may run, or a refusal.
   */
  async acquire(applicant: AdmissionRequest): Promise<Result<void, Refusal>> {
    if (this.#inFlight < this.#bounds().limit && this.#waiting.length === 0) {
      this.#admit();
      return ok(undefined);
    }
    if (!this.#canWait(applicant)) return err(this.#busy());
    return new Promise((resolve) => {
      this.#enqueue(applicant, resolve);
    });
  }

  /** Gives a slot back and admits the next call. */
  release(): void {
    this.#inFlight -= 1;
    this.admitQueued();
  }

  /** Admits waiting calls after the limit has risen. */
  admitQueued(): void {
    while (this.#inFlight < this.#bounds().limit) {
      const next = this.#takeNext();
      if (!next) return;
      this.#admit();
      next.resolve(ok(undefined));
    }
  }

  /**
   * Refuses every waiting call.
   *
   * @param refusal The refusal to give.
   */
  refuseQueued(refusal: Refusal): void {
    for (const waiting of this.#waiting.splice(0)) this.#finish(waiting, err(refusal));
  }

  #admit(): void {
    this.#inFlight += 1;
    this.#bounds().onAdmit?.();
  }

  #canWait(applicant: AdmissionRequest): boolean {
    const { limit, queueLength, serviceMs } = this.#bounds();
    const ahead = this.#waiting.filter((each) => each.weight >= applicant.weight).length;
    const expectedMs = ((ahead + 1) * serviceMs) / Math.max(1, limit) + serviceMs;
    if (expectedMs > applicant.deadline.leftMs) return false;
    if (this.#waiting.length < queueLength) return true;
    return this.#shedBelow(applicant.weight);
  }

  #shedBelow(weight: number): boolean {
    const lowest = this.#lowestWaiting();
    if (!lowest || lowest.weight >= weight) return false;
    this.#remove(lowest);
    this.#finish(lowest, err(this.#busy()));
    return true;
  }

  #lowestWaiting(): Waiting | undefined {
    let lowest: Waiting | undefined;
    for (const each of this.#waiting) {
      if (!lowest || each.weight <= lowest.weight) lowest = each;
    }
    return lowest;
  }

  #enqueue(applicant: AdmissionRequest, resolve: (result: Result<void, Refusal>) => void): void {
    const give = (refusal: Refusal) => {
      this.#remove(waiting);
      this.#finish(waiting, err(refusal));
    };
    const onAbort = () => {
      give(makeNotRunRefusal(RefusalReason.Cancelled, 'the caller left while the call waited'));
    };
    const waitMs = Math.min(this.#bounds().queueWaitMs, applicant.deadline.leftMs);
    const waiting: Waiting = {
      ...applicant,
      expiry: this.#timer.after(waitMs, () => {
        give(this.#busy());
      }),
      resolve: (result) => {
        applicant.signal.removeEventListener('abort', onAbort);
        resolve(result);
      },
    };
    this.#waiting.push(waiting);
    applicant.signal.addEventListener('abort', onAbort);
    if (applicant.signal.aborted) onAbort();
  }

  #takeNext(): Waiting | undefined {
    let next: Waiting | undefined;
    for (const each of [...this.#waiting]) {
      if (each.deadline.leftMs < this.#bounds().serviceMs) {
        this.#remove(each);
        this.#finish(
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

  #remove(waiting: Waiting): void {
    const index = this.#waiting.indexOf(waiting);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  #finish(waiting: Waiting, result: Result<void, Refusal>): void {
    waiting.expiry.cancel();
    waiting.resolve(result);
  }

  #busy(): Refusal {
    const { limit } = this.#bounds();
    const detail = `target runs ${this.#inFlight} of ${limit} calls and ${this.#waiting.length} wait`;
    return {
      ...makeNotRunRefusal(RefusalReason.TargetBusy, detail),
      retryAfterMs: this.#bounds().queueWaitMs,
    };
  }
}
