import type { RandomSource } from '../random/mod.ts';

/** Load of a pool and the event that disturbs it. */
export enum Scenario {
  Steady50 = 'steady-50',
  Steady80 = 'steady-80',
  Steady95 = 'steady-95',
  NoisyNeighbour = 'noisy-neighbour',
  Straggler = 'straggler',
  FailFast = 'fail-fast',
  ColdStart = 'cold-start',
  DomainOut = 'domain-out-and-back',
  RegionCut = 'region-cut',
  Burst = 'burst-x3',
}

/** One call of a trace. */
export interface CallArrival {
  /** Time since the start of the trace, in milliseconds. */
  atMs: number;
  /** Index of the daemon that the caller uses. */
  entryIndex: number;
  /** Service time at a target at full speed, in milliseconds. */
  serviceMs: number;
}

/** Length of a trace, in milliseconds. */
export const TRACE_MS = 4_000;
/** Number of targets in the pool. */
export const TARGET_COUNT = 6;
/** Number of calls that a target executes at once. */
export const SLOTS_PER_TARGET = 6;
/** Mean service time of a call, in milliseconds. */
export const MEAN_SERVICE_MS = 20;
/** Highest latency at which an answer counts as in time, in milliseconds. */
export const IN_TIME_LIMIT_MS = 250;

const NOISE_PERIOD_MS = 200;
const NOISE_DURATION_MS = 50;
const NOISE_SLOWDOWN = 5;
const STRAGGLER_SLOWDOWN = 8;
const EVENT_START_MS = 1_000;
const EVENT_END_MS = 2_500;
const BURST_DURATION_MS = 300;
const BURST_FACTOR = 3;

/**
 * Returns the offered load of a scenario.
 *
 * @param scenario The scenario.
 * @returns Offered load as a share of the pool's capacity.
 */
export function getOfferedLoad(scenario: Scenario): number {
  if (scenario === Scenario.Steady50) return 0.5;
  if (scenario === Scenario.Steady95) return 0.95;
  if (scenario === Scenario.Burst) return 0.5;
  // Without one target or domain of six, 60% of the capacity is 72% of the remaining capacity.
  return scenario === Scenario.Steady80 ? 0.8 : 0.6;
}

/**
 * Draws the calls of a trace. The same seed gives the same trace.
 *
 * @param scenario The scenario.
 * @param random The source of random numbers.
 * @returns The calls in order of arrival.
 */
export function drawTrace(scenario: Scenario, random: RandomSource): CallArrival[] {
  const capacityPerMs = (TARGET_COUNT * SLOTS_PER_TARGET) / MEAN_SERVICE_MS;
  const arrivals: CallArrival[] = [];
  let atMs = 0;
  while (atMs < TRACE_MS) {
    const isBurst =
      scenario === Scenario.Burst &&
      atMs >= EVENT_START_MS &&
      atMs < EVENT_START_MS + BURST_DURATION_MS;
    const rate = getOfferedLoad(scenario) * capacityPerMs * (isBurst ? BURST_FACTOR : 1);
    atMs += drawExponential(1 / rate, random);
    const serviceMs = 2 + drawExponential(MEAN_SERVICE_MS - 2, random);
    arrivals.push({ atMs, entryIndex: random.below(TARGET_COUNT), serviceMs });
  }
  return arrivals;
}

/**
 * Returns the slowdown of a target at a moment of the trace.
 *
 * @param scenario The scenario.
 * @param target Index of the target.
 * @param atMs Time since the start of the trace, in milliseconds.
 * @returns Factor by which the service time of a call that starts then is multiplied.
 */
export function getSlowdownAt(scenario: Scenario, target: number, atMs: number): number {
  if (scenario === Scenario.Straggler && target === 0 && isDuringEvent(atMs))
    return STRAGGLER_SLOWDOWN;
  if (scenario !== Scenario.NoisyNeighbour) return 1;
  const period = Math.floor(atMs / NOISE_PERIOD_MS);
  const isNoisy = atMs % NOISE_PERIOD_MS < NOISE_DURATION_MS;
  // The order of the slow targets is fixed, so that each policy and the oracle see the same.
  return isNoisy && target === (period * 5 + 2) % TARGET_COUNT ? NOISE_SLOWDOWN : 1;
}

/**
 * Reports whether the scenario's event is in progress.
 *
 * @param atMs Time since the start of the trace, in milliseconds.
 * @returns Whether `atMs` lies in {@linkcode EVENT_WINDOW_MS}.
 */
export function isDuringEvent(atMs: number): boolean {
  return atMs >= EVENT_START_MS && atMs < EVENT_END_MS;
}

/** Start and end of the scenario's event, in milliseconds since the start of the trace. */
export const EVENT_WINDOW_MS: readonly [number, number] = [EVENT_START_MS, EVENT_END_MS];

function drawExponential(mean: number, random: RandomSource): number {
  const steps = 1_000_000;
  return -mean * Math.log((random.below(steps) + 1) / steps);
}
