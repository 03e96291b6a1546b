import { err, ok, type Result } from 'neverthrow';
import { BufferedBody } from '../contract/mod.ts';
import {
  TargetFailureKind,
  HEALTHY_REPORT,
  type ProbeReport,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
  type TargetRequest,
} from '../guard/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { SLOTS_PER_TARGET } from './scenario.ts';

/** Header that gives the time of a call at a target at full speed, in milliseconds. */
export const SERVICE_HEADER = 'x-service-ms';
const PROBE_MS = 6;

/** Options of {@linkcode ModelledTarget}. */
export interface ModelledTargetOptions {
  name: string;
  timer: TimerService;
  /** @returns How many times longer a call takes that starts now. */
  getSlowdown: () => number;
}

/** A target with slots: further calls wait inside it; while cold, too many make it fail. */
export class ModelledTarget implements TargetPort {
  readonly #options: ModelledTargetOptions;
  readonly #waiting: (() => void)[] = [];
  #process = new AbortController();
  #running = 0;
  #starts = 1;
  #coldUntilMs = 0;
  failsFast = false;
  probes = 0;
  runs = 0;
  /** Calls that it got while cold beyond what it bears. */
  coldOverloads = 0;

  /** @param options See {@linkcode ModelledTargetOptions}. */
  constructor(options: ModelledTargetOptions) {
    this.#options = options;
  }

  /**
   * Restarts without warning: calls under way are lost, and it is cold for a while.
   *
   * @param coldMs Time that it is cold, in milliseconds.
   */
  restart(coldMs: number): void {
    this.#starts += 1;
    this.#process.abort();
    this.#process = new AbortController();
    this.#running = 0;
    for (const wake of this.#waiting.splice(0)) wake();
    this.#coldUntilMs = this.#options.timer.now() + coldMs;
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    this.runs += 1;
    if (this.failsFast) return ok(this.#answer(500));
    const ended = this.#process.signal;
    const isCold = this.#options.timer.now() < this.#coldUntilMs;
    if (isCold && this.#running >= 1) this.coldOverloads += 1;
    await this.#enter();
    if (ended.aborted) return err({ kind: TargetFailureKind.ConnectionLost, detail: 'restarted' });
    const named = Number(req.headers.find(([name]) => name === SERVICE_HEADER)?.[1]);
    await sleep(this.#options.timer, named * this.#options.getSlowdown(), {
      signal: AbortSignal.any([req.signal, ended]),
    });
    if (isAborted(ended))
      return err({ kind: TargetFailureKind.ConnectionLost, detail: 'restarted' });
    this.#leave();
    if (req.signal.aborted) return err({ kind: TargetFailureKind.Cancelled, detail: 'cancelled' });
    return ok(this.#answer(200));
  }

  async probe(): Promise<ProbeReport | undefined> {
    this.probes += 1;
    await sleep(this.#options.timer, PROBE_MS);
    return HEALTHY_REPORT;
  }

  async #enter(): Promise<void> {
    if (this.#running >= SLOTS_PER_TARGET) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
      return;
    }
    this.#running += 1;
  }

  #leave(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#running -= 1;
  }

  #answer(status: number): TargetAnswer {
    const targetId = `${this.#options.name}/${this.#starts}`;
    const body = new BufferedBody(new Uint8Array());
    return {
      status,
      headers: [],
      body,
      load: undefined,
      targetId,
      shed: false,
      reported: undefined,
    };
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
