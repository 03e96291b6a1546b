/** The ways to bound the calls that a target runs at once. */
export enum LimitKind {
  Fixed = 'fixed',
  Aimd = 'aimd',
  Gradient = 'gradient',
}

/** One execution, as its guard saw it. */
export interface ServiceSample {
  /** Time between send and first byte of the answer, in milliseconds. */
  elapsedMs: number;
  /** Calls that the target ran when this one started, itself included. */
  inFlight: number;
  /** Whether the target answered without a server error. */
  succeeded: boolean;
}

/** Bounds the calls that a target runs at once. */
export interface ConcurrencyLimit {
  readonly kind: LimitKind;
  /** Calls that the target may run at once, at least one. */
  readonly current: number;
  /** @param sample An execution that has ended. */
  record(sample: ServiceSample): void;
}

/** A limit that never changes. */
export class FixedLimit implements ConcurrencyLimit {
  readonly kind = LimitKind.Fixed;
  readonly current: number;

  /** @param slots Calls that the target may run at once. */
  constructor(slots: number) {
    this.current = slots;
  }

  record(): void {
    // A fixed limit learns nothing.
  }
}

/** Time of a call, relative to the best seen, that {@linkcode AimdLimit} takes for overload. */
const AIMD_OVERLOAD_RATIO = 3;
const AIMD_BACKOFF = 0.7;

/** Rises by one for each full round of answers; falls by a factor on overload. */
export class AimdLimit implements ConcurrencyLimit {
  readonly kind = LimitKind.Aimd;
  readonly #slots: number;
  #limit: number;
  #bestMs = Infinity;

  /** @param slots Upper bound. */
  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  get current(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  record({ elapsedMs, succeeded }: ServiceSample): void {
    this.#bestMs = Math.min(this.#bestMs, elapsedMs);
    const overloaded = !succeeded || elapsedMs > this.#bestMs * AIMD_OVERLOAD_RATIO;
    const next = overloaded ? this.#limit * AIMD_BACKOFF : this.#limit + 1 / this.#limit;
    this.#limit = Math.min(this.#slots, Math.max(1, next));
  }
}

const GRADIENT_SHORT_WEIGHT = 0.2;
const GRADIENT_LONG_WEIGHT = 0.01;
/** Growth of recent times over usual ones that is tolerated before the limit falls. */
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_MIN = 0.5;
/** Lowest limit as a share of the slots. */
const GRADIENT_FLOOR_SHARE = 0.5;

/**
 * Follows the ratio of usual to recent execution times between half the slots
 * and all of them; a slower target then holds fewer calls at once.
 */
export class GradientLimit implements ConcurrencyLimit {
  readonly kind = LimitKind.Gradient;
  readonly #slots: number;
  readonly #floor: number;
  #limit: number;
  #shortMs: number | undefined;
  #longMs: number | undefined;

  /** @param slots Upper bound. */
  constructor(slots: number) {
    this.#slots = slots;
    this.#floor = Math.max(1, Math.ceil(slots * GRADIENT_FLOOR_SHARE));
    this.#limit = slots;
  }

  get current(): number {
    return Math.max(this.#floor, Math.floor(this.#limit));
  }

  record({ elapsedMs, inFlight }: ServiceSample): void {
    const shortMs = average(this.#shortMs, elapsedMs, GRADIENT_SHORT_WEIGHT);
    const longMs = average(this.#longMs, elapsedMs, GRADIENT_LONG_WEIGHT);
    this.#shortMs = shortMs;
    this.#longMs = longMs;
    const ratio = (GRADIENT_TOLERANCE * longMs) / Math.max(shortMs, Number.EPSILON);
    const gradient = Math.max(GRADIENT_MIN, Math.min(1, ratio));
    const isUsed = inFlight >= this.current - 1;
    const step = isUsed || gradient < 1 ? this.#limit * gradient + 1 : this.#limit;
    const next = this.#limit + GRADIENT_SHORT_WEIGHT * (step - this.#limit);
    this.#limit = Math.min(this.#slots, Math.max(this.#floor, next));
  }
}

function average(before: number | undefined, value: number, weight: number): number {
  return before === undefined ? value : before + weight * (value - before);
}

/**
 * @param kind The way to bound.
 * @param slots Upper bound of calls at once.
 * @returns A limit of that kind.
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
