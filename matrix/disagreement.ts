import {
  Lag,
  Order,
  Trouble,
  runDisagreementCase,
  type DisagreementCase,
  type DisagreementResult,
} from './disagreement_case.ts';
import { Change } from './disagreement_change.ts';
import { CallType } from './run_case.ts';

const TYPES = [CallType.Idempotent, CallType.Keyless, CallType.Keyed];
const LAGS: Readonly<Record<Order, readonly Lag[]>> = {
  [Order.EntryNewer]: [Lag.Short, Lag.Long],
  [Order.GuardsNewer]: [Lag.Short, Lag.Long],
  [Order.UnderWay]: [Lag.None],
  [Order.WhileRunning]: [Lag.None],
};
/** Changes that concern one side of the link only. */
const ONE_SIDED = new Set([Change.JustStarted, Change.CutOff]);

/**
 * @param seeds Seeds to play each case with.
 * @param changes The changes; all by default.
 * @returns Every change in every order, for each kind of call, lag, trouble and seed.
 */
export function listDisagreements(
  seeds: readonly number[],
  changes: readonly Change[] = Object.values(Change),
): DisagreementCase[] {
  return seeds.flatMap((seed) =>
    changes.flatMap((change) =>
      ordersOf(change).flatMap((order) =>
        LAGS[order].flatMap((lag) =>
          TYPES.flatMap((type) =>
            Object.values(Trouble).map((trouble) => ({ change, order, lag, type, trouble, seed })),
          ),
        ),
      ),
    ),
  );
}

/**
 * @param each A case.
 * @returns Its name, by which it can be played again.
 */
export function disagreementName(each: DisagreementCase): string {
  const { change, order, lag, type, trouble } = each;
  return [change, order, lag, type, trouble].join('/');
}

/**
 * Plays cases one after the other.
 *
 * @param cases The cases.
 * @param onEnd Called with the end of each, and with what it broke.
 */
export async function playDisagreements(
  cases: readonly DisagreementCase[],
  onEnd: (each: DisagreementCase, result: DisagreementResult, broken: string | undefined) => void,
): Promise<void> {
  for (const each of cases) {
    const result = await runDisagreementCase(each);
    const broken = Object.entries(result.violations).filter(([, count]) => count > 0);
    const text = broken.map(([name, count]) => `${name}=${count}`).join(' ');
    onEnd(each, result, text === '' ? undefined : text);
  }
}

function ordersOf(change: Change): Order[] {
  if (ONE_SIDED.has(change)) return [Order.EntryNewer, Order.GuardsNewer];
  return Object.values(Order);
}
