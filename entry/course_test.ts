import t from 'tap';
import {
  Deadline,
  EMPTY_BODY,
  FailureKind,
  RefusalReason,
  Repeatability,
  RetryBudget,
  notRun,
  unknown,
  withNewerRules,
  type AttemptFailure,
  type Call,
  type Route,
} from '../contract/mod.ts';
import { HomeRegions } from '../failure_domain/mod.ts';
import { LifeStage, type Instance } from '../instance/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { Course } from './course.ts';

const budget = new RetryBudget(100, { burst: () => 10 });

function routeOf(repeatability: Repeatability): Route {
  return {
    name: 'read-board',
    workspace: 'plata',
    methods: undefined,
    path: '/boards',
    pools: [{ pool: 'boards', weight: 1 }],
    repeatability,
    homeRegions: HomeRegions.ANYWHERE,
    weight: 1,
    timeoutMs: 1_000,
    objectiveMs: 500,
    maxAttempts: 3,
    bodyLimitBytes: 1_000,
    quarantine: false,
    hedge: false,
  };
}

function callOf(route: Route): Call {
  const timer = new VirtualTimer();
  return {
    id: 'call-1',
    route,
    pool: 'boards',
    version: 1,
    callerPool: 'halls',
    method: 'GET',
    target: '/boards/3',
    headers: [],
    body: EMPTY_BODY,
    deadline: new Deadline(timer, 1_000),
    objective: new Deadline(timer, 500),
    depth: 0,
    key: undefined,
    signal: new AbortController().signal,
    giveUp: () => undefined,
  };
}

function instanceOf(id: string): Instance {
  const address = `${id}:1`;
  const place = { pool: 'boards', failureDomain: 'centro-a', stage: LifeStage.Live };
  return { id, peerAddress: address, callerAddress: address, ...place };
}

const REFUSED: AttemptFailure = {
  kind: FailureKind.Refused,
  refusal: notRun(RefusalReason.VersionsDiffer, 'the route is not there'),
  load: undefined,
};
const LOST: AttemptFailure = {
  kind: FailureKind.Unknown,
  refusal: unknown(RefusalReason.AnswerLost, 'reset'),
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
      const call = callOf(routeOf(older));
      const course = new Course(call, budget);
      const instance = instanceOf('boards-1');
      course.excluded.add(instance.id);
      const mayFollow = course.mayFollow(failure, instance);
      const route = withNewerRules(call.route, routeOf(newer));
      const goesOn = mayFollow && course.renew({ ...call, route, version: 2 }, budget);
      const tried = [...course.excluded].join(',');
      seen.push(
        `${older} to ${newer} after ${failure.kind}: goes on ${String(goesOn)} as ${route.repeatability}, excluded "${tried}"`,
      );
    }
  }
  t.matchSnapshot(seen, 'courses');
  t.end();
});
