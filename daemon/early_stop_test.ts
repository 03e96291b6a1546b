import t from 'tap';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';

const LAME_DUCK_MS = 2_500;
const GRACE_MS = 6_000;
const STOPPING_ID = 'boards-centro-a';
/** Times after the signal at which the first configuration arrives, in milliseconds. */
const ARRIVALS_MS = [0, 200, 3_000];

async function describeStop(arrivalMs: number): Promise<string> {
  const cluster = await InProcessCluster.start({
    configuration: { ...makeExampleConfiguration(), version: 0 },
    instances: [{ pool: 'boards', failureDomain: 'centro-a' }],
    settings: { lameDuckMs: LAME_DUCK_MS, drainTimeoutMs: GRACE_MS },
    serviceMs: () => GRACE_MS,
  });
  const { daemon } = cluster.member(STOPPING_ID);
  const startMs = cluster.timer.now();
  let endMs: number | undefined;
  void daemon.drain().then(() => {
    endMs = cluster.timer.now();
  });
  await cluster.timer.advance(arrivalMs);
  cluster.platform.publish(makeExampleConfiguration());
  await cluster.timer.advance(100);
  const { text, refusal } = await cluster.callToCompletion(STOPPING_ID, {
    pathAndQuery: '/boards/3',
    deadlineMs: GRACE_MS,
  });
  await cluster.timer.advance(GRACE_MS);
  const runs = cluster.runs.get('/boards/3') ?? 0;
  const isPrompt = endMs !== undefined && endMs - startMs < LAME_DUCK_MS;
  return `after ${arrivalMs} ms: ${daemon.stage}, call ${refusal?.outcome ?? 'answered'} ${text}, runs ${runs}, ${isPrompt ? 'stopped at once' : 'stopped late'}`;
}

void t.test(
  'a daemon that is stopped before its first configuration takes no calls when that arrives',
  async (t) => {
    const seen: string[] = [];
    for (const arrivalMs of ARRIVALS_MS) seen.push(await describeStop(arrivalMs));
    t.matchSnapshot(seen, 'stops');
  },
);
