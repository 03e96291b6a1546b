import t from 'tap';
import { ok } from 'neverthrow';
import { EMPTY_BODY, Repeatability } from '../contract/mod.ts';
import { makeExampleCall, makeExampleRoute } from '../fakes/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { KeyOwner } from './key_owner.ts';

const ROUTE = makeExampleRoute({
  name: 'post-result',
  path: '/results',
  repeatability: Repeatability.NonIdempotent,
});

void t.test(
  'a call under a used key is not refused as not run after its path moved to another route',
  async (t) => {
    const timer = new VirtualTimer();
    const owner = new KeyOwner({
      timer,
      instanceId: 'a',
      getRegion: () => 'ar-norte',
      incarnation: 'run-1',
    });
    const call = makeExampleCall(timer, { route: ROUTE, method: 'POST', key: owner.issue(ROUTE) });
    const answer = { status: 200, headers: [], body: EMPTY_BODY, load: undefined };
    const first = await owner.run(call, () => Promise.resolve(ok(answer)));

    const moved = { ...call, version: 2, route: { ...ROUTE, name: 'post-result-2' } };
    const again = await owner.run(moved, () => Promise.resolve(ok(answer)));
    const { outcome, reason } = again._unsafeUnwrapErr();
    t.matchSnapshot(`first ran ${String(first.isOk())}, again ${outcome} ${reason}`, 'results');
    owner.close();
  },
);
