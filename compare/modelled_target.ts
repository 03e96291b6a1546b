import { err, ok, type Result } from 'neverthrow';
import { BufferedBody } from '../contract/mod.ts';
import {
  TargetFailureKind,
  HEALTHY_REPORT,
  NO_STATEMENT,
  type ProbeReport,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
  type TargetRequest,
} from '../guard/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { SLOTS_PER_TARGET } from './scenario.ts';

/** Request header with the service time of the call at a target at full speed, in milliseconds. */
export const SERVICE_HEADER = 'x-service-ms';
const PROBE_DURATION_MS = 6;

/** Options of {@linkcode ModelledTarget}. */
export interface ModelledTargetOptions {
  name: string;
  timer: TimerService;
  /** @returns Factor by which the service time of a call that starts now is multiplied. */
  getSlowdown: () => number;
}

/** Simulated target that executes as many calls at once as it has slots and queues the rest. */
export class ModelledTarget implements TargetPort {
  readonly #options: ModelledTargetOptions;
  readonly #queued: (() => void)[] = [];
  #processAbort = new AbortController();
  #running = 0;
  #startCount = 1;
  #coldUntilMs = 0;
  /** Whether the target answers every call with status 500 at once. */
  failsFast = false;
  /** Number of probes received. */
  probes = 0;
  /** Number of executions started. */
  runs = 0;
  /** Number of calls that arrived while the cold target executed another one. */
  coldOverloads = 0;

  /** @param options See {@linkcode ModelledTargetOptions}. */
  constructor(options: ModelledTargetOptions) {
    this.#options = options;
  }

  /**
   * Restarts the target without a planned stop. Its calls are lost, and it is cold afterwards.
   *
   * @param coldMs Duration of the cold period, in milliseconds.
   */
  restart(coldMs: number): void {
    this.#startCount += 1;
    this.#processAbort.abort();
    this.#processAbort = new AbortController();
    this.#running = 0;
    for (const wake of this.#queued.splice(0)) wake();
    this.#coldUntilMs = this.#options.timer.now() + coldMs;
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    this.runs += 1;
    if (this.failsFast) return ok(this.#makeAnswer(500));
    const processSignal = this.#processAbort.signal;
    const isCold = this.#options.timer.now() < this.#coldUntilMs;
    if (isCold && this.#running >= 1) this.coldOverloads += 1;
    await this.#acquireSlot();
    if (processSignal.aborted)
      return err({ kind: TargetFailureKind.ConnectionLost, detail: 'restarted' });
    const serviceMs = Number(req.headers.find(([name]) => name === SERVICE_HEADER)?.[1]);
    await sleep(this.#options.timer, serviceMs * this.#options.getSlowdown(), {
      signal: AbortSignal.any([req.signal, processSignal]),
    });
    if (isAborted(processSignal))
      return err({ kind: TargetFailureKind.ConnectionLost, detail: 'restarted' });
    this.#releaseSlot();
    if (req.signal.aborted) return err({ kind: TargetFailureKind.Cancelled, detail: 'cancelled' });
    return ok(this.#makeAnswer(200));
  }

  async probe(): Promise<ProbeReport | undefined> {
    this.probes += 1;
    await sleep(this.#options.timer, PROBE_DURATION_MS);
    return HEALTHY_REPORT;
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= SLOTS_PER_TARGET) {
      await new Promise<void>((resolve) => {
        this.#queued.push(resolve);
      });
      return;
    }
    this.#running += 1;
  }

  #releaseSlot(): void {
    const next = this.#queued.shift();
    if (next) next();
    else this.#running -= 1;
  }

  #makeAnswer(status: number): TargetAnswer {
    const targetId = `${this.#options.name}/${this.#startCount}`;
    const body = new BufferedBody(new Uint8Array());
    return {
      status,
      headers: [],
      body,
      load: undefined,
      targetId,
      shed: false,
      reported: undefined,
      statement: NO_STATEMENT,
    };
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
