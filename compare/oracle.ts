import TinyQueue from 'tinyqueue';
import {
  SLOTS_PER_TARGET,
  Scenario,
  TARGET_COUNT,
  isDuringEvent,
  getSlowdownAt,
  type CallArrival,
} from './scenario.ts';

interface Slot {
  target: number;
  freeAtMs: number;
}

/**
 * Computes the latencies under an ideal policy: one central queue without network delay,
 * where each call is executed in the slot in which it completes first.
 *
 * @param scenario The scenario.
 * @param arrivals The trace, in order of arrival.
 * @returns Latency of each call, in milliseconds; `Infinity` if no target was usable.
 */
export function computeOracleLatencies(
  scenario: Scenario,
  arrivals: readonly CallArrival[],
): number[] {
  const slots = Array.from({ length: TARGET_COUNT * SLOTS_PER_TARGET }, (_, index) => ({
    target: index % TARGET_COUNT,
    freeAtMs: 0,
  }));
  const queue = new TinyQueue<Slot>(slots, (a, b) => a.freeAtMs - b.freeAtMs);
  return arrivals.map(({ atMs, serviceMs }) => {
    const skipped: Slot[] = [];
    let best: { slot: Slot; endMs: number } | undefined;
    for (let slot = queue.pop(); slot; slot = queue.pop()) {
      const startMs = Math.max(atMs, slot.freeAtMs);
      if (best && startMs >= best.endMs) {
        skipped.push(slot);
        break;
      }
      const endMs = startMs + serviceMs * getSlowdownAt(scenario, slot.target, startMs);
      if (isUsable(scenario, slot.target, startMs) && (!best || endMs < best.endMs)) {
        if (best) skipped.push(best.slot);
        best = { slot, endMs };
      } else {
        skipped.push(slot);
      }
    }
    for (const each of skipped) queue.push(each);
    if (!best) return Infinity;
    best.slot.freeAtMs = best.endMs;
    queue.push(best.slot);
    return best.endMs - atMs;
  });
}

function isUsable(scenario: Scenario, target: number, atMs: number): boolean {
  const isEvent = isDuringEvent(atMs);
  if (scenario === Scenario.DomainOut || scenario === Scenario.FailFast) {
    return !(isEvent && target === 0);
  }
  return true;
}
