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

function callOf(repeatability: Repeatability): Call {
  return makeExampleCall(new VirtualTimer(), { route: makeExampleRoute({ repeatability }) });
}

function instanceOf(id: string): Instance {
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

void t.test('a call that may have run is not repeated once a version forbids it', (t) => {
  const seen: string[] = [];
  for (const failure of [REFUSED, LOST]) {
    for (const [older, newer] of [
      [Repeatability.Idempotent, Repeatability.Idempotent],
      [Repeatability.Idempotent, Repeatability.Keyless],
      [Repeatability.Idempotent, Repeatability.NonIdempotent],
      [Repeatability.Keyless, Repeatability.Idempotent],
    ] as const) {
      const call = callOf(older);
      const course = new CallProgress(call, budget);
      const instance = instanceOf('boards-1');
      course.excluded.add(instance.id);
      const mayFollow = course.recordFailure(failure, instance);
      const route = mergeNewerRoute(call.route, makeExampleRoute({ repeatability: newer }));
      const goesOn = mayFollow && course.updateCall({ ...call, route, version: 2 }, () => budget);
      const tried = [...course.excluded].join(',');
      seen.push(
        `${older} to ${newer} after ${failure.kind}: goes on ${String(goesOn)} as ${route.repeatability}, excluded "${tried}"`,
      );
    }
  }
  t.matchSnapshot(seen, 'courses');
  t.end();
});

void t.test('a call that a target has answered is not repeated once a version forbids it', (t) => {
  const call = callOf(Repeatability.Idempotent);
  const course = new CallProgress(call, budget);
  const body = new BufferedBody(Buffer.from('x'));
  const isFinal = course.recordAnswer({ status: 500, headers: [], body, load: undefined });
  const route = mergeNewerRoute(
    call.route,
    makeExampleRoute({ repeatability: Repeatability.Keyless }),
  );
  const goesOn = course.updateCall({ ...call, route, version: 2 }, () => budget);
  t.matchSnapshot(
    `a server error is final ${String(isFinal)}, goes on ${String(goesOn)}`,
    'course',
  );
  t.end();
});

void t.test(
  'a slow target stays the last resort of a call whose pool was left for a while',
  (t) => {
    const call = callOf(Repeatability.Idempotent);
    const course = new CallProgress(call, budget);
    const slow: AttemptFailure = {
      ...REFUSED,
      refusal: makeNotRunRefusal(RefusalReason.TargetSlow, 'work takes 4 times as long as usual'),
    };
    course.excluded.add('boards-1');
    course.recordFailure(slow, instanceOf('boards-1'));
    course.updateCall({ ...call, pool: 'results', version: 2 }, () => budget);
    course.excluded.add('results-1');
    course.recordFailure(REFUSED, instanceOf('results-1'));
    course.updateCall({ ...call, version: 3 }, () => budget);
    t.matchSnapshot([...course.excluded], 'excluded targets');
    t.end();
  },
);

void t.test('a call is counted once at each pool, however many versions come meanwhile', (t) => {
  const call = callOf(Repeatability.Idempotent);
  const counted: string[] = [];
  const budgetOf = ({ pool, version }: Call) => {
    counted.push(`${pool} at version ${version}`);
    return budget;
  };
  const course = new CallProgress(call, budget);
  course.updateCall({ ...call, version: 2 }, budgetOf);
  course.updateCall({ ...call, version: 3, pool: 'results' }, budgetOf);
  course.updateCall({ ...call, version: 4, pool: 'results' }, budgetOf);
  t.matchSnapshot(counted, 'counted beside its admission');
  t.end();
});
