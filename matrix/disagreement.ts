import { Lag, ChangeTiming, LinkFault, type DisagreementCase } from './disagreement_case.ts';
import { VersionChange, DisagreementCallType } from './disagreement_change.ts';
import { runDisagreementCase, type DisagreementResult } from './disagreement_run.ts';

/** Lags that make sense in an order; there is none where all learn of the change at once. */
const LAGS: Readonly<Record<ChangeTiming, readonly Lag[]>> = {
  [ChangeTiming.EntryNewer]: [Lag.Short, Lag.Long],
  [ChangeTiming.GuardsNewer]: [Lag.Short, Lag.Long],
  [ChangeTiming.CallInFlight]: [Lag.None],
  [ChangeTiming.WhileRunning]: [Lag.None],
};
/** Orders of the changes that need one side to be behind; the others come in all orders. */
const ORDERS: Partial<Record<VersionChange, readonly ChangeTiming[]>> = {
  [VersionChange.JustStarted]: [ChangeTiming.EntryNewer, ChangeTiming.GuardsNewer],
  [VersionChange.NearestStarted]: [ChangeTiming.EntryNewer],
  [VersionChange.CutOff]: [ChangeTiming.EntryNewer, ChangeTiming.GuardsNewer],
};

/**
 * @param seeds Seeds to play each case with.
 * @param changes The changes; all by default.
 * @returns Every change in every order, for each kind of call, lag, trouble and seed.
 */
export function listDisagreementCases(
  seeds: readonly number[],
  changes: readonly VersionChange[] = Object.values(VersionChange),
): DisagreementCase[] {
  return seeds.flatMap((seed) =>
    changes.flatMap((change) =>
      (ORDERS[change] ?? Object.values(ChangeTiming)).flatMap((timing) =>
        LAGS[timing].flatMap((lag) =>
          Object.values(DisagreementCallType).flatMap((type) =>
            troublesOf(type).map((linkFault) => ({ change, timing, lag, type, linkFault, seed })),
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
export function formatDisagreementCaseName(each: DisagreementCase): string {
  const { change, timing: order, lag, type, linkFault: trouble } = each;
  return [change, order, lag, type, trouble].join('/');
}

/**
 * Plays cases one after the other.
 *
 * @param cases The cases.
 * @param onEnd Called with each case, how it ended, and the names and counts of its violations;
 * without the last if there were none.
 */
export async function runDisagreementCases(
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
function troublesOf(type: DisagreementCallType): LinkFault[] {
  return type === DisagreementCallType.KeyedElsewhere ? [LinkFault.None] : Object.values(LinkFault);
}
