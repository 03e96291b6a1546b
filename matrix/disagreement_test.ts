import t from 'tap';
import {
  VersionChange,
  DisagreementCallType,
  formatDisagreementCaseName,
  listDisagreementCases,
  runDisagreementCases,
} from './mod.ts';

const SEED = 7;

for (const change of Object.values(VersionChange)) {
  void t.test(`an entry and guards that differ by ${change} keep every promise`, async (t) => {
    const seen: string[] = [];
    const broken: string[] = [];
    const cases = listDisagreementCases([SEED], [change]).filter(
      ({ type }) => type !== DisagreementCallType.KeyedElsewhere,
    );
    await runDisagreementCases(cases, (testCase, { completion, runs }, findings) => {
      seen.push(`${formatDisagreementCaseName(testCase)}: ${completion} runs=${runs}`);
      if (findings)
        broken.push(
          `${formatDisagreementCaseName(testCase)}: ${findings}, ${completion} runs=${runs}`,
        );
    });
    t.strictSame(broken, [], 'no promise broken');
    t.matchSnapshot(seen, 'results');
  });
}
