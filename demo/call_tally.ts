import { build, type Histogram } from 'hdr-histogram-js';
import { Outcome } from '../contract/mod.ts';

const MICROSECONDS_PER_MS = 1_000;

/** Outcomes and latencies of one kind of call. */
export interface KindTally {
  sent: number;
  answered: number;
  notRun: number;
  unknown: number;
  /** Latencies in microseconds. */
  latency: Histogram;
}

/** Counts outcomes and records latencies for each kind of call. */
export class CallTally {
  readonly #kinds = new Map<string, KindTally>();

  /**
   * Records a completed call.
   *
   * @param kind Kind of the call.
   * @param outcome Outcome of the call.
   * @param elapsedMs Latency of the call, in milliseconds.
   */
  record(kind: string, outcome: Outcome, elapsedMs: number): void {
    const tally = this.getTally(kind);
    tally.sent += 1;
    tally.latency.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
    if (outcome === Outcome.Answered) tally.answered += 1;
    else if (outcome === Outcome.NotRun) tally.notRun += 1;
    else tally.unknown += 1;
  }

  /** @returns The recorded kinds of call, in alphabetical order. */
  get kinds(): string[] {
    return [...this.#kinds.keys()].sort();
  }

  /**
   * Returns the tally of a kind of call and creates it if there is none.
   *
   * @param name Kind of call.
   * @returns The tally.
   */
  getTally(name: string): KindTally {
    let tally = this.#kinds.get(name);
    if (!tally) {
      const latency = build({ numberOfSignificantValueDigits: 3 });
      tally = { sent: 0, answered: 0, notRun: 0, unknown: 0, latency };
      this.#kinds.set(name, tally);
    }
    return tally;
  }
}

/**
 * Returns a percentile of recorded latencies.
 *
 * @param latency Latencies in microseconds.
 * @param percentile Percentile from 0 to 100.
 * @returns The latency at that percentile, in milliseconds.
 */
export function getPercentileMs(latency: Histogram, percentile: number): number {
  return latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}
