/** Algorithms that limit the concurrent calls at a target. */
export enum LimitKind {
  Fixed = 'fixed',
  Aimd = 'aimd',
  Gradient = 'gradient',
}

/** Measurements of one execution. */
export interface ServiceSample {
  /** Time from sending the call to the first byte of the answer, in milliseconds. */
  elapsedMs: number;
  /** Number of calls in flight when the execution started, including its own. */
  inFlight: number;
  /** Whether the target answered without a server error. */
  succeeded: boolean;
}

/** Limits the concurrent calls at a target. */
export interface ConcurrencyLimit {
  readonly kind: LimitKind;
  /** Number of calls that the target may run concurrently; at least one. */
  readonly current: number;
  /**
   * Adapts the limit to an execution.
   *
   * @param sample Measurements of the execution.
   */
  record(sample: ServiceSample): void;
}

/** Limit that never changes. */
export class FixedLimit implements ConcurrencyLimit {
  readonly kind = LimitKind.Fixed;
  readonly current: number;

  /** @param slots Number of calls that the target may run concurrently. */
  constructor(slots: number) {
    this.current = slots;
  }

  record(): void {
    // A fixed limit ignores samples.
  }
}

/** Ratio of execution time to the shortest one seen above which {@linkcode AimdLimit} backs off. */
const AIMD_OVERLOAD_RATIO = 3;
const AIMD_BACKOFF = 0.7;

/**
 * Additive increase, multiplicative decrease: grows by one for each `limit`
 * answers and shrinks by a constant factor on overload.
 */
export class AimdLimit implements ConcurrencyLimit {
  readonly kind = LimitKind.Aimd;
  readonly #slots: number;
  #limit: number;
  #bestMs = Infinity;

  /** @param slots Upper limit. */
  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  get current(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  record({ elapsedMs, succeeded }: ServiceSample): void {
    this.#bestMs = Math.min(this.#bestMs, elapsedMs);
    const isOverloaded = !succeeded || elapsedMs > this.#bestMs * AIMD_OVERLOAD_RATIO;
    const next = isOverloaded ? this.#limit * AIMD_BACKOFF : this.#limit + 1 / this.#limit;
    this.#limit = Math.min(this.#slots, Math.max(1, next));
  }
}

const GRADIENT_SHORT_WEIGHT = 0.2;
const GRADIENT_LONG_WEIGHT = 0.01;
/** Ratio of recent to long-term execution time up to which the limit does not fall. */
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_MIN = 0.5;
/** Lowest limit, as a share of the slots. */
const GRADIENT_FLOOR_SHARE = 0.5;

/**
 * Follows the ratio of long-term to recent execution time, between half the
 * slots and all of them, so that a slower target runs fewer calls concurrently.
 */
export class GradientLimit implements ConcurrencyLimit {
  readonly kind = LimitKind.Gradient;
  readonly #slots: number;
  readonly #floor: number;
  #limit: number;
  #shortMs: number | undefined;
  #longMs: number | undefined;

  /** @param slots Upper limit. */
  constructor(slots: number) {
    this.#slots = slots;
    this.#floor = Math.max(1, Math.ceil(slots * GRADIENT_FLOOR_SHARE));
    this.#limit = slots;
  }

  get current(): number {
    return Math.max(this.#floor, Math.floor(this.#limit));
  }

  record({ elapsedMs, inFlight }: ServiceSample): void {
    const shortMs = updateAverage(this.#shortMs, elapsedMs, GRADIENT_SHORT_WEIGHT);
    const longMs = updateAverage(this.#longMs, elapsedMs, GRADIENT_LONG_WEIGHT);
    this.#shortMs = shortMs;
    this.#longMs = longMs;
    const ratio = (GRADIENT_TOLERANCE * longMs) / Math.max(shortMs, Number.EPSILON);
    const gradient = Math.max(GRADIENT_MIN, Math.min(1, ratio));
    const isNearLimit = inFlight >= this.current - 1;
    const step = isNearLimit || gradient < 1 ? this.#limit * gradient + 1 : this.#limit;
    const next = this.#limit + GRADIENT_SHORT_WEIGHT * (step - this.#limit);
    this.#limit = Math.min(this.#slots, Math.max(this.#floor, next));
  }
}

function updateAverage(before: number | undefined, value: number, weight: number): number {
  return before === undefined ? value : before + weight * (value - before);
}

/**
 * Makes a concurrency limit.
 *
 * @param kind The algorithm.
 * @param slots Upper limit of concurrent calls.
 * @returns The limit, which starts at the upper limit.
 */
export function makeLimit(kind: LimitKind, slots: number): ConcurrencyLimit {
  switch (kind) {
    case LimitKind.Fixed:
      return new FixedLimit(slots);
    case LimitKind.Aimd:
      return new AimdLimit(slots);
    case LimitKind.Gradient:
      return new GradientLimit(slots);
  }
}
