import { VersionLag, ChangeTiming, LinkFault, type DisagreementCase } from './disagreement_case.ts';
import { VersionChange, DisagreementCallType } from './disagreement_change.ts';
import { runDisagreementCase, type DisagreementResult } from './disagreement_run.ts';

/** Possible lags for each timing; none where all daemons learn of the change at once. */
const LAGS_BY_TIMING: Readonly<Record<ChangeTiming, readonly VersionLag[]>> = {
  [ChangeTiming.EntryNewer]: [VersionLag.Short, VersionLag.Long],
  [ChangeTiming.GuardsNewer]: [VersionLag.Short, VersionLag.Long],
  [ChangeTiming.CallInFlight]: [VersionLag.None],
  [ChangeTiming.WhileRunning]: [VersionLag.None],
};
/** Timings of the changes that need one side to lag; all other changes occur with every timing. */
const TIMINGS: Partial<Record<VersionChange, readonly ChangeTiming[]>> = {
  [VersionChange.JustStarted]: [ChangeTiming.EntryNewer, ChangeTiming.GuardsNewer],
  [VersionChange.NearestStarted]: [ChangeTiming.EntryNewer],
  [VersionChange.CutOff]: [ChangeTiming.EntryNewer, ChangeTiming.GuardsNewer],
};

/**
 * Lists the disagreement cases.
 *
 * @param seeds Seeds to run each case with.
 * @param changes The changes; all by default.
 * @returns Every change with every timing, for each kind of call, lag, link fault and seed.
 */
export function listDisagreementCases(
  seeds: readonly number[],
  changes: readonly VersionChange[] = Object.values(VersionChange),
): DisagreementCase[] {
  return seeds.flatMap((seed) =>
    changes.flatMap((change) =>
      (TIMINGS[change] ?? Object.values(ChangeTiming)).flatMap((timing) =>
        LAGS_BY_TIMING[timing].flatMap((lag) =>
          Object.values(DisagreementCallType).flatMap((type) =>
            listLinkFaults(type).map((linkFault) => ({
              change,
              timing,
              lag,
              type,
              linkFault,
              seed,
            })),
          ),
        ),
      ),
    ),
  );
}

/**
 * Formats the name by which a case can be run again.
 *
 * @param testCase A case.
 * @returns Its name.
 */
export function formatDisagreementCaseName(testCase: DisagreementCase): string {
  const { change, timing, lag, type, linkFault } = testCase;
  return [change, timing, lag, type, linkFault].join('/');
}

/**
 * Runs cases one after the other.
 *
 * @param cases The cases.
 * @param onCompletion Called with each case, its result, and the names and counts of its
 * violations; the last is undefined if there are none.
 */
export async function runDisagreementCases(
  cases: readonly DisagreementCase[],
  onCompletion: (
    testCase: DisagreementCase,
    result: DisagreementResult,
    findings: string | undefined,
  ) => void,
): Promise<void> {
  for (const testCase of cases) {
    const result = await runDisagreementCase(testCase);
    const broken = Object.entries(result.violations).filter(([, count]) => count > 0);
    const text = broken.map(([name, count]) => `${name}=${count}`).join(' ');
    onCompletion(testCase, result, text === '' ? undefined : text);
  }
}

/** Lists the link faults of a kind of call. Another key owner bypasses the faulted link. */
function listLinkFaults(type: DisagreementCallType): LinkFault[] {
  return type === DisagreementCallType.KeyedElsewhere ? [LinkFault.None] : Object.values(LinkFault);
}
