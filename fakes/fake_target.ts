import { err, ok, type Result } from 'neverthrow';
import { BufferedBody, collectBody, type Body, type BodyChunk } from '../contract/mod.ts';
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

/** Step of a call at which a target crashes. */
export enum CrashStep {
  BeforeRun = 'before-run',
  DuringRun = 'during-run',
  AfterRun = 'after-run',
  DuringAnswer = 'during-answer',
}

/** Header with the identifier under which the executions of a call are counted. */
export const RUN_ID_HEADER = 'x-run-id';
/** Header of a call that crashes every target that executes it; its value is the {@linkcode CrashStep}. */
export const POISON_HEADER = 'x-poison';

const DEFAULT_SERVICE_MS = 5;
const DEFAULT_RESTART_MS = 500;
const REQUEST_LIMIT_BYTES = 16_777_216;

/** Options of {@linkcode FakeTarget}. */
export interface FakeTargetOptions {
  name: string;
  timer: TimerService;
  /** Called when the execution of a call begins. */
  onRun?: (runId: string, target: string) => void;
  /** Returns the execution time of the next call, in milliseconds. */
  serviceMs?: () => number;
}

/** In-memory target whose calls take time and that can crash at any step of a call. */
export class FakeTarget implements TargetPort {
  readonly #options: FakeTargetOptions;
  readonly #crashControllers = new Set<AbortController>();
  /** Step of the next call at which the target crashes. */
  nextCrashStep: CrashStep | undefined;
  /** Time from a crash to the restart, in milliseconds. */
  restartMs = DEFAULT_RESTART_MS;
  /** Whether it answers every call with status 500 without delay. */
  failsFast = false;
  isUp = true;
  /** What each of its messages states about the calls that it takes. */
  statement = NO_STATEMENT;
  /** Number of calls that are executing. */
  running = 0;
  /** Number of executions so far. */
  runs = 0;
  /** Number of health probes so far. */
  probes = 0;
  /** Highest value of {@linkcode FakeTarget.running} so far. */
  peakRunning = 0;
  #starts = 1;

  /** @param options See {@linkcode FakeTargetOptions}. */
  constructor(options: FakeTargetOptions) {
    this.#options = options;
  }

  /** @returns Number of starts so far. */
  get starts(): number {
    return this.#starts;
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    if (!this.isUp) return err({ kind: TargetFailureKind.NotSent, detail: 'refused' });
    if (this.failsFast) return ok(this.#makeAnswer(500, new BufferedBody(new Uint8Array())));
    const crash = new AbortController();
    this.#crashControllers.add(crash);
    this.running += 1;
    this.peakRunning = Math.max(this.peakRunning, this.running);
    const result = await this.#execute(req, crash.signal);
    this.running = Math.max(0, this.running - 1);
    this.#crashControllers.delete(crash);
    return result;
  }

  async probe(): Promise<ProbeReport | undefined> {
    this.probes += 1;
    await sleep(this.#options.timer, 1);
    return this.isUp ? { ...HEALTHY_REPORT, statement: this.statement } : undefined;
  }

  /** Ends the process and restarts it after {@linkcode FakeTarget.restartMs}. */
  crash(): void {
    this.isUp = false;
    for (const controller of this.#crashControllers) controller.abort();
    this.#crashControllers.clear();
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
    if (body.isErr()) return err(makeConnectionLost('the request was cut'));
    const step = this.#takeCrashStep(req);
    if (step === CrashStep.BeforeRun) return this.#crashAndFail();
    const runId = findHeader(req, RUN_ID_HEADER);
    this.runs += 1;
    if (runId !== undefined) this.#options.onRun?.(runId, this.#options.name);
    const signal = AbortSignal.any([crashed, req.signal]);
    const serviceMs = this.#options.serviceMs?.() ?? DEFAULT_SERVICE_MS;
    await sleep(this.#options.timer, step === CrashStep.DuringRun ? serviceMs / 2 : serviceMs, {
      signal,
    });
    if (step === CrashStep.DuringRun || step === CrashStep.AfterRun) return this.#crashAndFail();
    if (crashed.aborted) return err(makeConnectionLost('the target crashed'));
    if (req.signal.aborted) return err({ kind: TargetFailureKind.Cancelled, detail: 'cancelled' });
    const text = Buffer.from(`${this.#options.name} ran ${runId ?? req.pathAndQuery}`);
    if (step !== CrashStep.DuringAnswer) return ok(this.#makeAnswer(200, new BufferedBody(text)));
    this.crash();
    return ok(this.#makeAnswer(200, makeTruncatedBody(text)));
  }

  #takeCrashStep(req: TargetRequest): CrashStep | undefined {
    const poison = findHeader(req, POISON_HEADER);
    const poisoned = Object.values(CrashStep).find((each) => each.valueOf() === poison);
    if (poisoned !== undefined) return poisoned;
    const step = this.nextCrashStep;
    this.nextCrashStep = undefined;
    return step;
  }

  #crashAndFail(): Result<TargetAnswer, TargetFailure> {
    this.crash();
    return err(makeConnectionLost('the target crashed'));
  }

  #makeAnswer(status: number, body: Body): TargetAnswer {
    const targetId = `${this.#options.name}/${this.#starts}`;
    return {
      status,
      headers: [],
      body,
      load: undefined,
      targetId,
      shed: false,
      reported: undefined,
      statement: this.statement,
    };
  }
}

function findHeader(req: TargetRequest, name: string): string | undefined {
  return req.headers.find(([each]) => each === name)?.[1];
}

function makeConnectionLost(detail: string): TargetFailure {
  return { kind: TargetFailureKind.ConnectionLost, detail };
}

async function* makeTruncatedBody(bytes: Uint8Array): AsyncGenerator<BodyChunk> {
  yield await Promise.resolve(ok(bytes.subarray(0, 4)));
  yield err({ detail: 'the target crashed' });
}
