import type { RandomSource } from '../random/mod.ts';

/** What happens to a pool while calls arrive. */
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
export interface Arrival {
  atMs: number;
  /** Number of the daemon that the caller uses. */
  entryIndex: number;
  /** Time that a target at full speed takes, in milliseconds. */
  serviceMs: number;
}

/** Length of a trace, in milliseconds. */
export const TRACE_MS = 4_000;
/** Targets in the pool, and calls that each runs at once. */
export const TARGET_COUNT = 6;
export const SLOTS_PER_TARGET = 6;
/** Mean time of a call, in milliseconds. */
export const MEAN_SERVICE_MS = 20;
/** An answer counts as in time up to this latency, in milliseconds. */
export const IN_TIME_LIMIT_MS = 250;

const NOISE_PERIOD_MS = 200;
const NOISE_MS = 50;
const NOISE_FACTOR = 5;
const STRAGGLER_FACTOR = 8;
const EVENT_MS = 1_000;
const EVENT_END_MS = 2_500;
const BURST_MS = 300;
const BURST_FACTOR = 3;

/**
 * @param scenario The scenario.
 * @returns Share of the pool's capacity that the calls ask for.
 */
export function getOfferedLoad(scenario: Scenario): number {
  if (scenario === Scenario.Steady50) return 0.5;
  if (scenario === Scenario.Steady95) return 0.95;
  if (scenario === Scenario.Burst) return 0.5;
  // With a target or a domain out of six gone, 60% is 72% of what is left.
  return scenario === Scenario.Steady80 ? 0.8 : 0.6;
}

/**
 * Draws the calls of a trace; the same seed gives the same trace to every policy.
 *
 * @param scenario The scenario.
 * @param random The source of random numbers.
 * @returns The calls in order of arrival.
 */
export function drawTrace(scenario: Scenario, random: RandomSource): Arrival[] {
  const capacityPerMs = (TARGET_COUNT * SLOTS_PER_TARGET) / MEAN_SERVICE_MS;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < TRACE_MS) {
    const isBurst = scenario === Scenario.Burst && atMs >= EVENT_MS && atMs < EVENT_MS + BURST_MS;
    const rate = getOfferedLoad(scenario) * capacityPerMs * (isBurst ? BURST_FACTOR : 1);
    atMs += exponential(1 / rate, random);
    const serviceMs = 2 + exponential(MEAN_SERVICE_MS - 2, random);
    arrivals.push({ atMs, entryIndex: random.below(TARGET_COUNT), serviceMs });
  }
  return arrivals;
}

/**
 * @param scenario The scenario.
 * @param target Number of a target.
 * @param atMs Time in the trace.
 * @returns How many times longer a call takes there that starts now.
 */
export function getSlowdownAt(scenario: Scenario, target: number, atMs: number): number {
  if (scenario === Scenario.Straggler && target === 0 && isDuringEvent(atMs))
    return STRAGGLER_FACTOR;
  if (scenario !== Scenario.NoisyNeighbour) return 1;
  const round = Math.floor(atMs / NOISE_PERIOD_MS);
  const isNoisy = atMs % NOISE_PERIOD_MS < NOISE_MS;
  // A fixed walk over the targets, the same for every policy and for the oracle.
  return isNoisy && target === (round * 5 + 2) % TARGET_COUNT ? NOISE_FACTOR : 1;
}

/**
 * @param atMs Time in the trace.
 * @returns Whether the scenario's event is under way.
 */
export function isDuringEvent(atMs: number): boolean {
  return atMs >= EVENT_MS && atMs < EVENT_END_MS;
}

/** Start and end of the scenario's event, in milliseconds. */
export const EVENT_WINDOW_MS: readonly [number, number] = [EVENT_MS, EVENT_END_MS];

function exponential(mean: number, random: RandomSource): number {
  const steps = 1_000_000;
  return -mean * Math.log((random.below(steps) + 1) / steps);
}
