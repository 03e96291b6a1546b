import { err, ok, type Result } from 'neverthrow';
import { BufferedBody, collectBody, type Body, type BodyChunk } from '../contract/mod.ts';
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

/** At which step of a call a target crashes. */
export enum CrashStep {
  BeforeRun = 'before-run',
  DuringRun = 'during-run',
  AfterRun = 'after-run',
  DuringAnswer = 'during-answer',
}

/** Header that names a call for counting its runs. */
export const RUN_ID_HEADER = 'x-run-id';
/** Header of a call that crashes each target that runs it. */
export const POISON_HEADER = 'x-poison';

const DEFAULT_SERVICE_MS = 5;
const DEFAULT_RESTART_MS = 500;
const REQUEST_LIMIT_BYTES = 16_777_216;

/** Options of {@linkcode FakeTarget}. */
export interface FakeTargetOptions {
  name: string;
  timer: TimerService;
  /** Called when a call begins to take effect. */
  onRun?: (runId: string, target: string) => void;
  /** @returns Time of the next call, in milliseconds. */
  serviceMs?: () => number;
}

/** A target in memory: calls take time, and it can crash at any step. */
export class FakeTarget implements TargetPort {
  readonly #options: FakeTargetOptions;
  readonly #crashes = new Set<AbortController>();
  /** Step at which the next call crashes the target. */
  nextCrashStep: CrashStep | undefined;
  /** Time that it is down after a crash, in milliseconds. */
  restartMs = DEFAULT_RESTART_MS;
  /** Whether it answers errors at once. */
  failsFast = false;
  isUp = true;
  running = 0;
  runs = 0;
  probes = 0;
  peakRunning = 0;
  #starts = 1;

  /** @param options See {@linkcode FakeTargetOptions}. */
  constructor(options: FakeTargetOptions) {
    this.#options = options;
  }

  /** @returns Starts so far. */
  get starts(): number {
    return this.#starts;
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    if (!this.isUp) return err({ kind: TargetFailureKind.NotSent, detail: 'refused' });
    if (this.failsFast) return ok(this.#answer(500, new BufferedBody(new Uint8Array())));
    const crash = new AbortController();
    this.#crashes.add(crash);
    this.running += 1;
    this.peakRunning = Math.max(this.peakRunning, this.running);
    const result = await this.#execute(req, crash.signal);
    this.running = Math.max(0, this.running - 1);
    this.#crashes.delete(crash);
    return result;
  }

  async probe(): Promise<ProbeReport | undefined> {
    this.probes += 1;
    await sleep(this.#options.timer, 1);
    return this.isUp ? HEALTHY_REPORT : undefined;
  }

  /** Ends the process and, later, starts it anew. */
  crash(): void {
    this.isUp = false;
    for (const each of this.#crashes) each.abort();
    this.#crashes.clear();
    this.running = 0;
    this.#options.timer.after(this.restartMs, () => {
      this.#starts += 1;
      this.isUp = true;
    });
  }

  async #execute(
    req: TargetRequest,
    crashed: AbortSignal,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const body = await collectBody(req.body, REQUEST_LIMIT_BYTES);
    if (body.isErr()) return err(broken('the request was cut'));
    const step = this.#takeCrashStep(req);
    if (step === CrashStep.BeforeRun) return this.#crashNow();
    const runId = headerOf(req, RUN_ID_HEADER);
    this.runs += 1;
    if (runId !== undefined) this.#options.onRun?.(runId, this.#options.name);
    const signal = AbortSignal.any([crashed, req.signal]);
    const serviceMs = this.#options.serviceMs?.() ?? DEFAULT_SERVICE_MS;
    await sleep(this.#options.timer, step === CrashStep.DuringRun ? serviceMs / 2 : serviceMs, {
      signal,
    });
    if (step === CrashStep.DuringRun || step === CrashStep.AfterRun) return this.#crashNow();
    if (crashed.aborted) return err(broken('the target crashed'));
    if (req.signal.aborted) return err({ kind: TargetFailureKind.Cancelled, detail: 'cancelled' });
    const text = Buffer.from(`${this.#options.name} ran ${runId ?? req.pathAndQuery}`);
    if (step !== CrashStep.DuringAnswer) return ok(this.#answer(200, new BufferedBody(text)));
    this.crash();
    return ok(this.#answer(200, cutBody(text)));
  }

  #takeCrashStep(req: TargetRequest): CrashStep | undefined {
    if (headerOf(req, POISON_HEADER) !== undefined) return CrashStep.DuringRun;
    const step = this.nextCrashStep;
    this.nextCrashStep = undefined;
    return step;
  }

  #crashNow(): Result<TargetAnswer, TargetFailure> {
    this.crash();
    return err(broken('the target crashed'));
  }

  #answer(status: number, body: Body): TargetAnswer {
    const targetId = `${this.#options.name}/${this.#starts}`;
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

function headerOf(req: TargetRequest, name: string): string | undefined {
  return req.headers.find(([each]) => each === name)?.[1];
}

function broken(detail: string): TargetFailure {
  return { kind: TargetFailureKind.ConnectionLost, detail };
}

async function* cutBody(bytes: Uint8Array): AsyncGenerator<BodyChunk> {
  yield await Promise.resolve(ok(bytes.subarray(0, 4)));
  yield err({ detail: 'the target crashed' });
}
