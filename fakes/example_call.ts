import { Deadline, EMPTY_BODY, Repeatability, type Call, type Route } from '../contract/mod.ts';
import { HomeRegions } from '../failure_domain/mod.ts';
import type { TimerService } from '../timer/mod.ts';

const TIMEOUT_MS = 1_000;
const OBJECTIVE_MS = 500;

/**
 * @param changes What differs from the example.
 * @returns A route of boards that may be read again.
 */
export function makeExampleRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'read-board',
    workspace: 'plata',
    methods: undefined,
    path: '/boards',
    pools: [{ pool: 'boards', weight: 1 }],
    repeatability: Repeatability.Idempotent,
    homeRegions: HomeRegions.ANYWHERE,
    weight: 1,
    timeoutMs: TIMEOUT_MS,
    objectiveMs: OBJECTIVE_MS,
    maxAttempts: 3,
    bodyLimitBytes: 1_000,
    quarantine: false,
    hedge: false,
    ...changes,
  };
}

/**
 * @param timer The source of time.
 * @param changes What differs from the example.
 * @returns A call of {@linkcode makeExampleRoute}, with the whole of its time left.
 */
export function makeExampleCall(timer: TimerService, changes: Partial<Call> = {}): Call {
  const controller = new AbortController();
  const { route = makeExampleRoute() } = changes;
  return {
    id: 'call-1',
    route,
    pool: 'boards',
    version: 1,
    callerPool: 'halls',
    method: 'GET',
    pathAndQuery: '/boards/3',
    headers: [],
    body: EMPTY_BODY,
    deadline: new Deadline(timer, route.timeoutMs),
    objective: new Deadline(timer, route.objectiveMs),
    depth: 0,
    key: undefined,
    signal: controller.signal,
    cancel: () => {
      controller.abort();
    },
    ...changes,
  };
}
