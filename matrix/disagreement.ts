import { Lag, Order, Trouble, type DisagreementCase } from './disagreement_case.ts';
import { Change, DisagreedCall } from './disagreement_change.ts';
import { runDisagreementCase, type DisagreementResult } from './disagreement_run.ts';

/** Lags that make sense in an order; there is none where all learn of the change at once. */
const LAGS: Readonly<Record<Order, readonly Lag[]>> = {
  [Order.EntryNewer]: [Lag.Short, Lag.Long],
  [Order.GuardsNewer]: [Lag.Short, Lag.Long],
  [Order.UnderWay]: [Lag.None],
  [Order.WhileRunning]: [Lag.None],
};
/** Orders of the changes that need one side to be behind; the others come in all orders. */
const ORDERS: Partial<Record<Change, readonly Order[]>> = {
  [Change.JustStarted]: [Order.EntryNewer, Order.GuardsNewer],
  [Change.NearestStarted]: [Order.EntryNewer],
  [Change.CutOff]: [Order.EntryNewer, Order.GuardsNewer],
};

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
      (ORDERS[change] ?? Object.values(Order)).flatMap((order) =>
        LAGS[order].flatMap((lag) =>
          Object.values(DisagreedCall).flatMap((type) =>
            troublesOf(type).map((trouble) => ({ change, order, lag, type, trouble, seed })),
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
 * @param onEnd Called with each case, how it ended, and the names and counts of its violations;
 * without the last if there were none.
 */
export async function playDisagreements(
  cases: readonly DisagreementCase[],
  onEnd: (each: DisagreementCase, result: DisagreementResult, findings: string | undefined) => void,
): Promise<void> {
  for (const each of cases) {
    const result = await runDisagreementCase(each);
    const broken = Object.entries(result.violations).filter(([, count]) => count > 0);
    const text = broken.map(([name, count]) => `${name}=${count}`).join(' ');
    onEnd(each, result, text === '' ? undefined : text);
  }
}

/** Troubles concern the link between entry and guard; the owner of a key sends attempts itself. */
function troublesOf(type: DisagreedCall): Trouble[] {
  return type === DisagreedCall.KeyedElsewhere ? [Trouble.None] : Object.values(Trouble);
}
