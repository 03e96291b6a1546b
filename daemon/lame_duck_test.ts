import t from 'tap';
import { Outcome } from '../contract/mod.ts';
import { EXAMPLE_DOMAINS, InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';

const LAME_DUCK_MS = 500;
const STOPPING_ID = 'boards-centro-a';

void t.test('daemon.drain() takes calls for a while, then refuses them', async (t) => {
  const world = await InProcessCluster.start({
    configuration: makeExampleConfiguration(),
    instances: EXAMPLE_DOMAINS.map((failureDomain) => ({ pool: 'boards', failureDomain })),
    settings: { lameDuckMs: LAME_DUCK_MS },
  });
  const { daemon } = world.member(STOPPING_ID);
  const drained = daemon.drain();
  const ask = async (when: string) => {
    const { outcome, text } = await world.callToCompletion(STOPPING_ID, {
      pathAndQuery: '/boards/3',
    });
    return `${when}: ${outcome}${outcome === Outcome.Answered ? '' : ` ${text}`}, stage ${daemon.stage}`;
  };
  const seen = [await ask('just after the signal')];
  await world.timer.advance(LAME_DUCK_MS);
  seen.push(await ask('after the time'));
  await world.advanceUntil(drained);
  t.matchSnapshot(seen, 'calls');
});
