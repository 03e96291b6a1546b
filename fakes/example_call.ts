import { Deadline, EMPTY_BODY, Repeatability, type Call, type Route } from '../contract/mod.ts';
import { HomeRegions } from '../failure_domain/mod.ts';
import type { TimerService } from '../timer/mod.ts';

const TIMEOUT_MS = 1_000;
const OBJECTIVE_MS = 500;

/**
 * Creates an example route.
 *
 * @param changes Properties that differ from the example.
 * @returns An idempotent route to the pool `boards`.
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
 * Creates an example call.
 *
 * @param timer The clock of the deadlines.
 * @param changes Properties that differ from the example.
 * @returns A call on {@linkcode makeExampleRoute} whose deadlines start now.
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
