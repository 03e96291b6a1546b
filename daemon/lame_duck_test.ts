import t from 'tap';
import { Outcome } from '../contract/mod.ts';
import { EXAMPLE_DOMAINS, InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';

const LAME_DUCK_MS = 500;
const STOPPING_ID = 'boards-centro-a';

void t.test(
  'daemon.drain() accepts calls during the lame-duck period, then refuses them',
  async (t) => {
    const cluster = await InProcessCluster.start({
      configuration: makeExampleConfiguration(),
      instances: EXAMPLE_DOMAINS.map((failureDomain) => ({ pool: 'boards', failureDomain })),
      settings: { lameDuckMs: LAME_DUCK_MS },
    });
    const { daemon } = cluster.member(STOPPING_ID);
    const drained = daemon.drain();
    const callAt = async (when: string) => {
      const { outcome, text } = await cluster.callToCompletion(STOPPING_ID, {
        pathAndQuery: '/boards/3',
      });
      return `${when}: ${outcome}${outcome === Outcome.Answered ? '' : ` ${text}`}, stage ${daemon.stage}`;
    };
    const seen = [await callAt('at the start of the drain')];
    await cluster.timer.advance(LAME_DUCK_MS);
    seen.push(await callAt('after the lame-duck period'));
    await cluster.advanceUntil(drained);
    t.matchSnapshot(seen, 'calls');
  },
);
