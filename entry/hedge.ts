import { isNotRun, type AttemptResult, type Call } from '../contract/mod.ts';
import { withTimeout, type TimerService } from '../timer/mod.ts';

/** Times the mean execution after which a call counts as slow. */
const SLOW_FACTOR = 5;

/** One attempt of a hedged call, which can be cancelled alone. */
export interface HedgedAttempt {
  call: Call;
  /** Cancels this attempt only. */
  cancel: () => void;
}

/** What {@linkcode raceHedged} needs. */
export interface HedgeOptions {
  timer: TimerService;
  /** Mean time of an execution at the first target, in milliseconds. */
  serviceMs: number;
  /** Sends the call to the first target. */
  sendFirst: (call: Call) => Promise<AttemptResult>;
  /** Sends it to another one; nothing if there is none or no budget is left. */
  prepareSecond: () => ((call: Call) => Promise<AttemptResult>) | undefined;
}

/**
 * Sends a call to a second target if the first is slow; the first answer wins
 * and the other attempt is cancelled.
 *
 * @param call An idempotent call whose body is in memory as a whole.
 * @param options See {@linkcode HedgeOptions}.
 * @returns How the call ended.
 */
export async function raceHedged(call: Call, options: HedgeOptions): Promise<AttemptResult> {
  const { timer, serviceMs } = options;
  const first = alone(call);
  const sent = options.sendFirst(first.call);
  const isSlow = await isPendingAfter(sent, timer, serviceMs * SLOW_FACTOR);
  const sendSecond = isSlow ? options.prepareSecond() : undefined;
  if (!sendSecond) return sent;
  const second = alone(call);
  const sentAgain = sendSecond(second.call);
  const winner = await firstAnswer(sent, sentAgain);
  const loser = winner.isFirst ? second : first;
  loser.cancel();
  return winner.result;
}

/** A copy of a call that is given up with the original, or alone. */
function alone(call: Call): HedgedAttempt {
  const controller = new AbortController();
  const cancel = () => {
    call.signal.removeEventListener('abort', cancel);
    controller.abort();
  };
  call.signal.addEventListener('abort', cancel);
  if (call.signal.aborted) cancel();
  return { call: { ...call, signal: controller.signal, cancel: cancel }, cancel };
}

async function isPendingAfter(
  pending: Promise<AttemptResult>,
  timer: TimerService,
  delayMs: number,
): Promise<boolean> {
  return (await withTimeout(timer, delayMs, pending)) === undefined;
}

/** An attempt that fails waits for the other one; if both fail, one that may have run counts. */
async function firstAnswer(
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
  const isSecondTelling = isUnrun(await first) && !isUnrun(await second);
  return isSecondTelling
    ? { result: await second, isFirst: false }
    : { result: await first, isFirst: true };
}

function isUnrun(result: AttemptResult): boolean {
  return result.isErr() && isNotRun(result.error.kind);
}
