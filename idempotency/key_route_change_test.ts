import t from 'tap';
import { ok } from 'neverthrow';
import { Deadline, EMPTY_BODY, Repeatability, type Call, type Route } from '../contract/mod.ts';
import { HomeRegions } from '../failure_domain/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { KeyOwner } from './key_owner.ts';

const ROUTE: Route = {
  name: 'post-result',
  workspace: 'plata',
  methods: undefined,
  path: '/results',
  pools: [{ pool: 'results', weight: 1 }],
  repeatability: Repeatability.NonIdempotent,
  homeRegions: HomeRegions.ANYWHERE,
  weight: 1,
  timeoutMs: 1_000,
  objectiveMs: 500,
  maxAttempts: 3,
  bodyLimitBytes: 1_000,
  quarantine: false,
  hedge: false,
};

void t.test(
  'a key that has run is not called unrun after its path has moved to another route',
  async (t) => {
    const timer = new VirtualTimer();
    const owner = new KeyOwner({
      timer,
      instanceId: 'a',
      region: () => 'ar-norte',
      incarnation: 'run-1',
    });
    const call: Call = {
      id: 'call-1',
      route: ROUTE,
      pool: 'results',
      version: 1,
      callerPool: 'halls',
      method: 'POST',
      target: '/results',
      headers: [],
      body: EMPTY_BODY,
      deadline: new Deadline(timer, 1_000),
      objective: new Deadline(timer, 500),
      depth: 0,
      key: owner.issue(ROUTE),
      signal: new AbortController().signal,
      giveUp: () => undefined,
    };
    const answer = { status: 200, headers: [], body: EMPTY_BODY, load: undefined };
    const first = await owner.run(call, () => Promise.resolve(ok(answer)));

    const moved = { ...call, version: 2, route: { ...ROUTE, name: 'post-result-2' } };
    const again = await owner.run(moved, () => Promise.resolve(ok(answer)));
    const { outcome, reason } = again._unsafeUnwrapErr();
    t.matchSnapshot(`first ran ${String(first.isOk())}, again ${outcome} ${reason}`, 'ends');
    owner.close();
  },
);
