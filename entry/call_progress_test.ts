import t from 'tap';
import {
  FailureKind,
  RefusalReason,
  Repeatability,
  RetryBudget,
  BufferedBody,
  makeNotRunRefusal,
  makeUnknownRefusal,
  mergeNewerRoute,
  type AttemptFailure,
  type Call,
} from '../contract/mod.ts';
import { makeExampleCall, makeExampleRoute } from '../fakes/mod.ts';
import { InstanceStage, type Instance } from '../instance/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { CallProgress } from './call_progress.ts';

const budget = new RetryBudget(100, { getBurst: () => 10 });

function makeCall(repeatability: Repeatability): Call {
  return makeExampleCall(new VirtualTimer(), { route: makeExampleRoute({ repeatability }) });
}

function makeInstance(id: string): Instance {
  const address = `${id}:1`;
  const place = { pool: 'boards', failureDomain: 'centro-a', stage: InstanceStage.Live };
  return { id, peerAddress: address, callerAddress: address, ...place };
}

const REFUSED: AttemptFailure = {
  kind: FailureKind.Refused,
  refusal: makeNotRunRefusal(RefusalReason.VersionsDiffer, 'the route is not there'),
  load: undefined,
};
const LOST: AttemptFailure = {
  kind: FailureKind.Unknown,
  refusal: makeUnknownRefusal(RefusalReason.AnswerLost, 'reset'),
  load: undefined,
};

void t.test('a call that may have run is not retried once a newer version forbids it', (t) => {
  const seen: string[] = [];
  for (const failure of [REFUSED, LOST]) {
    for (const [older, newer] of [
      [Repeatability.Idempotent, Repeatability.Idempotent],
      [Repeatability.Idempotent, Repeatability.Keyless],
      [Repeatability.Idempotent, Repeatability.NonIdempotent],
      [Repeatability.Keyless, Repeatability.Idempotent],
    ] as const) {
      const call = makeCall(older);
      const progress = new CallProgress(call, budget);
      const instance = makeInstance('boards-1');
      progress.excluded.add(instance.id);
      const mayFollow = progress.recordFailure(failure, instance);
      const route = mergeNewerRoute(call.route, makeExampleRoute({ repeatability: newer }));
      const continues =
        mayFollow && progress.updateCall({ ...call, route, version: 2 }, () => budget);
      const tried = [...progress.excluded].join(',');
      seen.push(
        `${older} to ${newer} after ${failure.kind}: continues ${String(continues)} as ${route.repeatability}, excluded "${tried}"`,
      );
    }
  }
  t.matchSnapshot(seen, 'progress');
  t.end();
});

void t.test('a call with a server error is not retried once a newer version forbids it', (t) => {
  const call = makeCall(Repeatability.Idempotent);
  const progress = new CallProgress(call, budget);
  const body = new BufferedBody(Buffer.from('x'));
  const isFinal = progress.recordAnswer({ status: 500, headers: [], body, load: undefined });
  const route = mergeNewerRoute(
    call.route,
    makeExampleRoute({ repeatability: Repeatability.Keyless }),
  );
  const continues = progress.updateCall({ ...call, route, version: 2 }, () => budget);
  t.matchSnapshot(
    `a server error is final ${String(isFinal)}, continues ${String(continues)}`,
    'progress',
  );
  t.end();
});

void t.test(
  'a slow target is available again after a call has changed to another pool and back',
  (t) => {
    const call = makeCall(Repeatability.Idempotent);
    const progress = new CallProgress(call, budget);
    const slow: AttemptFailure = {
      ...REFUSED,
      refusal: makeNotRunRefusal(RefusalReason.TargetSlow, 'work takes 4 times as long as usual'),
    };
    progress.excluded.add('boards-1');
    progress.recordFailure(slow, makeInstance('boards-1'));
    progress.updateCall({ ...call, pool: 'results', version: 2 }, () => budget);
    progress.excluded.add('results-1');
    progress.recordFailure(REFUSED, makeInstance('results-1'));
    progress.updateCall({ ...call, version: 3 }, () => budget);
    t.matchSnapshot([...progress.excluded], 'excluded targets');
    t.end();
  },
);

void t.test(
  'a call is counted once at each pool, however many versions are applied meanwhile',
  (t) => {
    const call = makeCall(Repeatability.Idempotent);
    const counted: string[] = [];
    const recordCall = ({ pool, version }: Call) => {
      counted.push(`${pool} at version ${version}`);
      return budget;
    };
    const progress = new CallProgress(call, budget);
    progress.updateCall({ ...call, version: 2 }, recordCall);
    progress.updateCall({ ...call, version: 3, pool: 'results' }, recordCall);
    progress.updateCall({ ...call, version: 4, pool: 'results' }, recordCall);
    t.matchSnapshot(counted, 'counted after its first pool');
    t.end();
  },
);
