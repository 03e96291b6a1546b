import { isNotRun, type AttemptResult, type Call } from '../contract/mod.ts';
import { withTimeout, type TimerService } from '../timer/mod.ts';

/** Multiple of the mean execution time after which a call counts as slow. */
const SLOW_FACTOR = 5;

/** One attempt of a hedged call, which can be cancelled without the other. */
export interface HedgedAttempt {
  call: Call;
  /** Cancels this attempt only. */
  cancel: () => void;
}

/** Options of {@linkcode raceHedged}. */
export interface HedgeOptions {
  timer: TimerService;
  /** Mean execution time at the first target, in milliseconds. */
  serviceMs: number;
  /** Sends the call to the first target. */
  sendFirst: (call: Call) => Promise<AttemptResult>;
  /** Chooses a second target and returns how to send to it; undefined without target or budget. */
  prepareSecond: () => ((call: Call) => Promise<AttemptResult>) | undefined;
}

/**
 * Sends a call to a second target if the first is slow. Returns the first answer
 * and cancels the other attempt.
 *
 * @param call An idempotent call with a buffered body.
 * @param options See {@linkcode HedgeOptions}.
 * @returns The first answer, or a failure if both attempts failed.
 */
export async function raceHedged(call: Call, options: HedgeOptions): Promise<AttemptResult> {
  const { timer, serviceMs } = options;
  const first = makeHedgedAttempt(call);
  const firstResult = options.sendFirst(first.call);
  const isSlow = await isPendingAfter(firstResult, timer, serviceMs * SLOW_FACTOR);
  const sendSecond = isSlow ? options.prepareSecond() : undefined;
  if (!sendSecond) return firstResult;
  const second = makeHedgedAttempt(call);
  const secondResult = sendSecond(second.call);
  const winner = await awaitFirstAnswer(firstResult, secondResult);
  const loser = winner.isFirst ? second : first;
  loser.cancel();
  return winner.result;
}

/** Copies a call. The copy is cancelled with the original or on its own. */
function makeHedgedAttempt(call: Call): HedgedAttempt {
  const controller = new AbortController();
  const cancel = () => {
    call.signal.removeEventListener('abort', cancel);
    controller.abort();
  };
  call.signal.addEventListener('abort', cancel);
  if (call.signal.aborted) cancel();
  return { call: { ...call, signal: controller.signal, cancel }, cancel };
}

async function isPendingAfter(
  pending: Promise<AttemptResult>,
  timer: TimerService,
  delayMs: number,
): Promise<boolean> {
  return (await withTimeout(timer, delayMs, pending)) === undefined;
}

/** Returns the first answer. If both attempts fail, prefers the one that may have run. */
async function awaitFirstAnswer(
  first: Promise<AttemptResult>,
  second: Promise<AttemptResult>,
): Promise<{ result: AttemptResult; isFirst: boolean }> {
  const early = await Promise.race([
    first.then((result) => ({ result, isFirst: true })),
    second.then((result) => ({ result, isFirst: false })),
  ]);
  if (early.result.isOk()) return early;
  const late = await (early.isFirst ? second : first);
  if (late.isOk()) return { result: late, isFirst: !early.isFirst };
  const isSecondPreferred = isNotRunResult(await first) && !isNotRunResult(await second);
  return isSecondPreferred
    ? { result: await second, isFirst: false }
    : { result: await first, isFirst: true };
}

function isNotRunResult(result: AttemptResult): boolean {
  return result.isErr() && isNotRun(result.error.kind);
}
