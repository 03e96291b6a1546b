import t from 'tap';
import { DistributionFault, DistributionStep, runDistributionCase } from './mod.ts';

const SEED = 5;

void t.test('a version is applied everywhere and never reverts under any fault', async (t) => {
  const seen: string[] = [];
  const broken: string[] = [];
  for (const step of Object.values(DistributionStep)) {
    for (const fault of Object.values(DistributionFault)) {
      const { behind, reverted, inForceMs } = await runDistributionCase({
        step,
        fault,
        seed: SEED,
      });
      seen.push(`${step} ${fault}: in force ${inForceMs} ms after the fault`);
      if (behind + reverted > 0)
        broken.push(`${step} ${fault}: behind=${behind} reverted=${reverted}`);
    }
  }
  t.strictSame(broken, [], 'none behind after 9 s, none reverted');
  t.matchSnapshot(seen, 'time until in force');
});
