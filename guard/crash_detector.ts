import { computeFingerprint, type Call } from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import type { TargetPort } from './target_port.ts';

/** Consecutive probes without an answer that confirm a crash. */
const UNANSWERED_PROBES = 2;
const PROBE_INTERVAL_MS = 100;

/** Options of {@linkcode CrashDetector}. */
export interface CrashDetectorOptions {
  timer: TimerService;
  log: EventLog;
  port: TargetPort;
  /** @returns Path of the health endpoint, if the configuration has one. */
  getPath: () => string | undefined;
  /** @returns ID of the target's process that sent the latest answer, if known. */
  getTargetId: () => string | undefined;
  /**
   * Called once for each crash of the target.
   *
   * @param fingerprints Fingerprints of the calls that were running.
   */
  onCrash: (fingerprints: readonly string[]) => void;
}

/**
 * Tells a crash of the target from a connection that was merely lost: a target that has crashed
 * does not answer a probe, or answers as another process.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #lostCalls = new Set<Call>();
  #isChecking = false;

  /** @param options See {@linkcode CrashDetectorOptions}. */
  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /**
   * Records that the connection to the target was lost while a call was running.
   *
   * @param call The call.
   */
  recordLost(call: Call): void {
    if (!call.route.quarantine) return;
    this.#lostCalls.add(call);
    if (!this.#isChecking) void this.#check();
  }

  async #check(): Promise<void> {
    this.#isChecking = true;
    const hasCrashed = await this.#hasCrashed();
    const calls = [...this.#lostCalls];
    this.#lostCalls.clear();
    this.#isChecking = false;
    const { log, getTargetId, onCrash } = this.#options;
    const target = getTargetId();
    const ids = calls.map(({ id }) => id).join(',');
    if (!hasCrashed) {
      log.write(Event.TargetSurvived, { target, calls: ids });
      return;
    }
    const fingerprints = calls.map(computeFingerprint).filter((each) => each !== undefined);
    const unknown = calls.length - fingerprints.length;
    log.write(Event.TargetCrashed, {
      target,
      calls: ids,
      fingerprints: fingerprints.join(','),
      unknown,
    });
    onCrash([...new Set(fingerprints)]);
  }

  async #hasCrashed(): Promise<boolean> {
    const { timer, port, getPath, getTargetId } = this.#options;
    const targetId = getTargetId();
    for (let probe = 0; probe < UNANSWERED_PROBES; probe += 1) {
      if (probe > 0) await sleep(timer, PROBE_INTERVAL_MS);
      const report = await port.probe(getPath());
      if (!report) continue;
      const isKnown = targetId !== undefined && report.targetId !== undefined;
      return isKnown && report.targetId !== targetId;
    }
    return true;
  }
}
