import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import {
  Deadline,
  Outcome,
  RefusalReason,
  BufferedBody,
  makeNotRunRefusal,
  makeUnknownRefusal,
  type Answer,
  type Call,
  type Refusal,
  type Route,
} from '../contract/mod.ts';
import { sleep, type Subscription, type TimerService } from '../timer/mod.ts';
import type { Handover } from './handover.ts';
import { exportIssuer, importIssuer } from './handover.ts';
import { KeptAnswerBudget } from './kept_answer_budget.ts';
import { KeyIssuer, type KeyRecord, type KeyedResult } from './key_issuer.ts';
import { hasValidSignature, parseKey, signKey, type KeyClaims } from './key_codec.ts';

const DEFAULT_LIFETIME_MS = 600_000;
const DEFAULT_KEPT_BYTES = 8_388_608;
/** Memory reserved for a record before its call executes, in bytes. */
const RESERVED_BYTES = 4_096;
/** Estimated size of a record without its answer, in bytes. */
const RECORD_BYTES = 512;
const PRUNE_PERIOD_MS = 1_000;

/** Options of {@linkcode KeyOwner}. */
export interface KeyOwnerOptions {
  timer: TimerService;
  instanceId: string;
  /** @returns Region of the instance. */
  getRegion: () => string | undefined;
  /** @returns Whether the daemon may issue keys; always by default. */
  canIssue?: () => boolean;
  /** @returns A refusal if the daemon may start no execution now. */
  checkAdmission?: () => Refusal | undefined;
  incarnation: string;
  /** Lifetime of a key, in milliseconds. */
  lifetimeMs?: number;
  /** Limit for all kept answers together, in bytes. */
  keptBytes?: number;
}

/** Executes a call. The owner calls it again under the same key only if the call was not run. */
export type ExecuteCall = (call: Call) => Promise<KeyedResult>;

/**
 * Issues idempotency keys and executes the calls made under them. Each key allows
 * one execution; calls sent again under the key get its result.
 */
export class KeyOwner {
  readonly #options: KeyOwnerOptions;
  readonly #timer: TimerService;
  readonly #lifetimeMs: number;
  readonly #ownIssuer: KeyIssuer;
  readonly #issuers = new Map<string, KeyIssuer>();
  readonly #budget: KeptAnswerBudget;
  readonly #pruneTimer: Subscription;
  #isFrozen = false;
  #running = 0;

  /** @param options See {@linkcode KeyOwnerOptions}. */
  constructor(options: KeyOwnerOptions) {
    this.#options = options;
    this.#timer = options.timer;
    this.#lifetimeMs = options.lifetimeMs ?? DEFAULT_LIFETIME_MS;
    this.#ownIssuer = new KeyIssuer(options.incarnation);
    this.#issuers.set(options.incarnation, this.#ownIssuer);
    this.#budget = new KeptAnswerBudget(options.keptBytes ?? DEFAULT_KEPT_BYTES);
    this.#pruneTimer = this.#timer.every(PRUNE_PERIOD_MS, () => {
      this.#prune();
    });
  }

  /** @returns Number of executions that have not completed. */
  get running(): number {
    return this.#running;
  }

  /** @returns Size of kept answers and reservations, in bytes. */
  get keptBytes(): number {
    return this.#budget.usedBytes;
  }

  /**
   * Issues a key.
   *
   * @param route The only route that the key is valid for.
   * @returns The key, or undefined if the daemon may not issue keys now.
   */
  issue(route: Route): string | undefined {
    const region = this.#options.getRegion();
    const canIssue = this.#options.canIssue?.() ?? true;
    if (this.#isFrozen || region === undefined || !canIssue) return undefined;
    const claims: KeyClaims = {
      ownerId: this.#options.instanceId,
      region,
      incarnation: this.#ownIssuer.incarnation,
      sequence: this.#ownIssuer.nextSequence(),
      expiresAtMs: Math.ceil(this.#timer.now() + this.#lifetimeMs),
    };
    return signKey(claims, route, { secret: this.#ownIssuer.secret });
  }

  /**
   * Reports whether this daemon owns the keys of an incarnation.
   *
   * @param incarnation Incarnation of the daemon that issued the keys.
   * @returns Whether this daemon owns them.
   */
  ownsKeysOf(incarnation: string): boolean {
    return this.#issuers.has(incarnation);
  }

  /**
   * Executes a call under its key, or waits for the execution that an earlier call under the key
   * started.
   *
   * @param call The call; its body must be buffered.
   * @param execute Executes the call.
   * @returns The answer of the key's one execution, or a refusal.
   */
  async run(call: Call, execute: ExecuteCall): Promise<KeyedResult> {
    const checked = this.#checkKey(call);
    if (checked.isErr()) return err(checked.error);
    const { issuer, claims } = checked.value;
    const digest = computeDigest(call);
    const existing = issuer.records.get(claims.sequence);
    if (existing) return this.#join(existing, call, digest);
    const started = this.#start(issuer, claims, { call, digest, execute });
    return started.isErr() ? err(started.error) : this.#awaitResult(started.value, call);
  }

  /** Stops issuing keys and starting executions. Calls under used keys still get their result. */
  freeze(): void {
    this.#isFrozen = true;
  }

  /**
   * Hands over all keys to a successor. Afterwards this owner refuses calls under them.
   *
   * @returns The keys by incarnation. Their results are complete only if
   * {@linkcode KeyOwner.running} is zero.
   */
  handOver(): Handover[] {
    this.freeze();
    const handovers = [...this.#issuers.values()].map((issuer) =>
      exportIssuer(issuer, this.#timer.now()),
    );
    this.#issuers.clear();
    return handovers;
  }

  /**
   * Takes over the keys of a daemon that has stopped.
   *
   * @param handover The keys that its owner handed over.
   * @returns Whether the keys were taken over. False if this owner is frozen, has the keys already
   * or lacks memory for them.
   */
  takeOver(handover: Handover): boolean {
    if (this.#isFrozen || this.#issuers.has(handover.incarnation)) return false;
    const issuer = importIssuer(handover, this.#timer.now());
    let bytes = 0;
    for (const record of issuer.records.values()) bytes += record.bytes;
    if (!this.#budget.tryReserve(bytes)) return false;
    this.#issuers.set(issuer.incarnation, issuer);
    return true;
  }

  /** Stops the periodic pruning of expired records. */
  close(): void {
    this.#pruneTimer.cancel();
  }

  #checkKey(call: Call): Result<{ issuer: KeyIssuer; claims: KeyClaims }, Refusal> {
    const text = call.key ?? '';
    const read = parseKey(text);
    if (read.isErr()) return err(read.error);
    const claims = read.value;
    const issuer = this.#issuers.get(claims.incarnation);
    if (!issuer) {
      return err(
        makeUnknownRefusal(RefusalReason.KeyOwnerGone, 'the key is not owned by this daemon'),
      );
    }
    if (!hasValidSignature(text, call.route, { secret: issuer.secret })) {
      const detail = `the key was not issued for route "${call.route.name}"`;
      // A newer version may have moved the call's path to this route after the call ran.
      const mayHaveRun = issuer.records.has(claims.sequence);
      const refuse = mayHaveRun ? makeUnknownRefusal : makeNotRunRefusal;
      return err(refuse(RefusalReason.KeyInvalid, detail));
    }
    return this.#checkExpiry(issuer, claims, call.route);
  }

  #checkExpiry(
    issuer: KeyIssuer,
    claims: KeyClaims,
    route: Route,
  ): Result<{ issuer: KeyIssuer; claims: KeyClaims }, Refusal> {
    const overdueMs = this.#timer.now() + issuer.clockOffsetMs - claims.expiresAtMs;
    if (overdueMs < 0) return ok({ issuer, claims });
    const detail = `the key expired ${Math.round(overdueMs)} ms ago`;
    const isKnownUnused = overdueMs < this.#lifetimeMs && !issuer.records.has(claims.sequence);
    if (!isKnownUnused) return err(makeUnknownRefusal(RefusalReason.KeyExpired, detail));
    return err({
      ...makeNotRunRefusal(RefusalReason.KeyExpired, detail),
      nextKey: this.issue(route),
    });
  }

  #join(record: KeyRecord, call: Call, digest: string): Promise<KeyedResult> {
    if (record.digest !== digest) {
      const detail = 'the key was used before with another method, path or body';
      return Promise.resolve(err(makeNotRunRefusal(RefusalReason.KeyReused, detail)));
    }
    return this.#awaitResult(record, call);
  }

  #start(
    issuer: KeyIssuer,
    claims: KeyClaims,
    { call, digest, execute }: { call: Call; digest: string; execute: ExecuteCall },
  ): Result<KeyRecord, Refusal> {
    if (this.#isFrozen)
      return err(makeNotRunRefusal(RefusalReason.Leaving, 'the owner of the key is leaving'));
    const refusal = this.#options.checkAdmission?.();
    if (refusal) return err(refusal);
    if (!this.#budget.tryReserve(RESERVED_BYTES)) {
      const detail = `no room for a further answer, ${this.#budget.usedBytes} bytes are kept`;
      return err(makeNotRunRefusal(RefusalReason.KeyStoreFull, detail));
    }
    const record: KeyRecord = {
      digest,
      expiresAtMs: claims.expiresAtMs,
      result: this.#execute(call, execute),
      finalResult: undefined,
      bytes: RESERVED_BYTES,
    };
    issuer.records.set(claims.sequence, record);
    void record.result.then((result) => {
      this.#complete(issuer, claims.sequence, result);
    });
    return ok(record);
  }

  async #execute(call: Call, execute: ExecuteCall): Promise<KeyedResult> {
    this.#running += 1;
    const leftMs = Math.max(call.deadline.leftMs, call.route.timeoutMs);
    const deadline = new Deadline(this.#timer, leftMs);
    const result = await execute({ ...call, deadline });
    this.#running -= 1;
    return result;
  }

  #complete(issuer: KeyIssuer, sequence: number, result: KeyedResult): void {
    const record = issuer.records.get(sequence);
    if (!record) return;
    const didNotRun = result.isErr() && result.error.outcome === Outcome.NotRun;
    const bytes = didNotRun ? 0 : RECORD_BYTES + measureAnswerBytes(result);
    this.#budget.resize(record.bytes, bytes);
    record.bytes = bytes;
    record.finalResult = result;
    if (didNotRun) issuer.records.delete(sequence);
  }

  async #awaitResult(record: KeyRecord, call: Call): Promise<KeyedResult> {
    if (record.finalResult) return record.finalResult;
    const controller = new AbortController();
    const { signal } = controller;
    const timedOut = sleep(this.#timer, call.deadline.leftMs, { signal }).then(() =>
      err<Answer, Refusal>(makeUnknownRefusal(RefusalReason.DeadlinePassed, 'the call still runs')),
    );
    const result = await Promise.race([record.result, timedOut]);
    controller.abort();
    return result;
  }

  #prune(): void {
    for (const issuer of this.#issuers.values()) {
      const nowMs = this.#timer.now() + issuer.clockOffsetMs;
      for (const [sequence, record] of issuer.records)
        this.#pruneRecord(issuer, sequence, { record, nowMs });
      const isTakenOver = issuer !== this.#ownIssuer;
      if (
        isTakenOver &&
        issuer.records.size === 0 &&
        issuer.msSinceHandover(nowMs) > 2 * this.#lifetimeMs
      ) {
        this.#issuers.delete(issuer.incarnation);
      }
    }
  }

  #pruneRecord(
    issuer: KeyIssuer,
    sequence: number,
    { record, nowMs }: { record: KeyRecord; nowMs: number },
  ): void {
    const overdueMs = nowMs - record.expiresAtMs;
    if (!record.finalResult || overdueMs < 0) return;
    if (overdueMs >= this.#lifetimeMs) {
      this.#budget.resize(record.bytes, 0);
      issuer.records.delete(sequence);
    } else if (record.bytes > RECORD_BYTES) {
      this.#budget.resize(record.bytes, RECORD_BYTES);
      record.bytes = RECORD_BYTES;
      record.finalResult = err(
        makeUnknownRefusal(RefusalReason.KeyExpired, 'the kept answer has expired'),
      );
    }
  }
}

function computeDigest(call: Call): string {
  const hash = createHash('sha256').update(`${call.method} ${call.pathAndQuery}\n`);
  if (call.body instanceof BufferedBody) hash.update(call.body.bytes);
  return hash.digest('base64url');
}

function measureAnswerBytes(result: KeyedResult): number {
  if (result.isErr()) return 0;
  return result.value.body instanceof BufferedBody ? result.value.body.bytes.length : 0;
}
