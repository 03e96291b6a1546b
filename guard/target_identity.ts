import type { TimerService } from '../timer/mod.ts';

/** What an answer shows of the process at the target's address. */
export enum ProcessSign {
  /** The target's process, as before. */
  Same = 'same',
  /** A new process of the target. */
  Restarted = 'restarted',
  /** A process that may belong to another target, which has got the address since. */
  Unidentified = 'unidentified',
  /** A former process, whose answer the one of a later process has overtaken. */
  Ended = 'ended',
}

/**
 * @param sign What an answer shows.
 * @returns Whether the process that has sent it is the target's present one.
 */
export function isOfTarget(sign: ProcessSign): boolean {
  return sign === ProcessSign.Same || sign === ProcessSign.Restarted;
}

/** Options of {@linkcode TargetIdentity}. */
export interface TargetIdentityOptions {
  timer: TimerService;
  /**
   * Shortest time from the end of a target until another one may get its address, in milliseconds;
   * infinite if addresses are not reused.
   */
  addressReuseMs: number;
  /** @returns ID of the target's process according to the instance list, if it is listed with one. */
  getListedId: () => string | undefined;
}

/**
 * Tells a restart of the target from another target that has got its address. A new process is the
 * target's if the instance list says so, or if it answers before the address can have been reused.
 */
export class TargetIdentity {
  readonly #options: TargetIdentityOptions;
  #targetId: string | undefined;
  /** Latest time at which the target is known to have been running, in milliseconds. */
  #seenAtMs = -Infinity;
  /** Time of the answer that first identified the process, in milliseconds. */
  #identifiedAtMs = -Infinity;
  /** The process that answered last, if it may be another target's. */
  #unidentified: { processId: string; seenAtMs: number } | undefined;

  /** @param options See {@linkcode TargetIdentityOptions}. */
  constructor(options: TargetIdentityOptions) {
    this.#options = options;
  }

  /** @returns ID of the target's process, if known. */
  get targetId(): string | undefined {
    return this.#targetId ?? this.#options.getListedId();
  }

  /** @returns ID of the process that answers at the target's address, if it may be another target's. */
  get unidentifiedId(): string | undefined {
    return this.#unidentified?.processId;
  }

  /** @returns Whether a call that names the target's process cannot be run by another target. */
  get isIdentified(): boolean {
    if (!this.#isAddressReused) return true;
    return this.#unidentified === undefined && this.targetId !== undefined;
  }

  /** @returns Time since the target was last known to be running, in milliseconds. */
  get silenceMs(): number {
    return this.#options.timer.now() - this.#seenAtMs;
  }

  /**
   * Records an answer that names the process that has sent it.
   *
   * @param processId ID of the process.
   * @param sentAtMs When the call or probe that it answers was sent, in milliseconds.
   * @returns What the answer shows.
   */
  recordAnswer(processId: string, sentAtMs: number): ProcessSign {
    if (processId === this.#targetId) return this.#recordSame(sentAtMs);
    if (sentAtMs < this.#identifiedAtMs) return ProcessSign.Ended;
    const isListed = processId === this.#options.getListedId();
    const { addressReuseMs } = this.#options;
    const isRecent = !this.#isAddressReused || this.silenceMs < addressReuseMs;
    if (!isListed && !isRecent) {
      this.#unidentified = { processId, seenAtMs: sentAtMs };
      return ProcessSign.Unidentified;
    }
    return this.#recordNew(processId, sentAtMs);
  }

  /**
   * Identifies the process that answered last if the instance list now says that it is the target's.
   *
   * @returns Whether it is.
   */
  applyListing(): boolean {
    const unidentified = this.#unidentified;
    if (!unidentified || unidentified.processId !== this.#options.getListedId()) return false;
    this.#recordNew(unidentified.processId, unidentified.seenAtMs);
    return true;
  }

  /** Records that the clock may have stopped for a while, in which the address may have been reused. */
  recordSuspension(): void {
    this.#seenAtMs = -Infinity;
  }

  get #isAddressReused(): boolean {
    return this.#options.addressReuseMs !== Infinity;
  }

  #recordSame(sentAtMs: number): ProcessSign {
    this.#seenAtMs = Math.max(this.#seenAtMs, sentAtMs);
    this.#unidentified = undefined;
    return ProcessSign.Same;
  }

  #recordNew(processId: string, sentAtMs: number): ProcessSign {
    const isFirst = this.#targetId === undefined;
    this.#targetId = processId;
    this.#identifiedAtMs = this.#options.timer.now();
    this.#recordSame(sentAtMs);
    return isFirst ? ProcessSign.Same : ProcessSign.Restarted;
  }
}
