import {
  CONFIGURATION_KEY,
  StoreMode,
  StoreStandIn,
  makeConfigurationValue,
  makeEntryKey,
  makeEntryValue,
  makeEvacuationKey,
  type PlatformRoute,
} from '../stand_in/mod.ts';
import { findFreePorts } from '../demo/free_ports.ts';
import { sleep, wallNow, type RealTimer } from '../timer/mod.ts';
import {
  CRASHING_PATH,
  makeFinding,
  Guarantee,
  type ObservedCall,
  type ObservedRun,
  type SoakFinding,
} from './guarantees.ts';
import { ADDRESS_REUSE_MS, SoakMachine } from './soak_machine.ts';

/** Region of each failure domain. */
const REGIONS: Readonly<Record<string, string>> = {
  'centro-a': 'ar-centro',
  'norte-a': 'ar-norte',
  'sur-a': 'ar-sur',
};
const POOLS = ['boards', 'results'] as const;
const SLOTS = 6;
/** Time by which calls must stop after a drain or an evacuation, in milliseconds: limits of the users' sites. */
const DRAIN_LIMIT_MS = 2_500;
const EVACUATION_LIMIT_MS = 5_000;
/** Time for which a draining target still executes calls, in milliseconds. */
const TARGET_DRAIN_MS = 4_000;
/** Time from the crash of a target to its next start, in milliseconds. */
const TARGET_RESTART_DELAY_MS = 500;
/** Time after a restore of the store by which what was lost is written again, in milliseconds. */
const REWRITE_MS = 1_500;
/** Time after which a registration that nobody renews expires, in milliseconds. */
const EXPIRY_MS = 4_500;
const ENTRY_PREFIX = makeEntryKey('');
const PORT_COUNT = 5;

/** Routes in every version of the configuration. */
export const ROUTES: readonly PlatformRoute[] = [
  { name: 'board', prefix: '/board/', pool: 'boards', isSafe: true, homeRegions: [] },
  {
    name: 'result',
    prefix: '/result/',
    pool: 'results',
    isSafe: false,
    homeRegions: ['ar-centro', 'ar-norte'],
  },
  { name: 'entry', prefix: '/entry/', pool: 'results', isSafe: false, homeRegions: [] },
];

/** Machines of a soak and their store, with the operations of an operator. */
export class SoakCluster {
  readonly timer: RealTimer;
  readonly machines: SoakMachine[] = [];
  readonly runs: ObservedRun[] = [];
  readonly calls: ObservedCall[] = [];
  readonly findings: SoakFinding[] = [];
  readonly #store: StoreStandIn;
  readonly #machinesByCall = new Map<string, SoakMachine[]>();
  readonly #drainedAtMs = new Map<string, number>();
  readonly #evacuatedAtMs = new Map<string, number>();
  readonly #restartingTargets = new Set<SoakMachine>();
  #version = 0;
  #routes = [...ROUTES];

  private constructor(timer: RealTimer, store: StoreStandIn) {
    this.timer = timer;
    this.#store = store;
  }

  /**
   * Starts the store, the targets and the daemons.
   *
   * @param timer The clock.
   * @param options Number of machines, and a folder for their settings and logs.
   * @returns The cluster, whose daemons are still starting.
   */
  static async start(
    timer: RealTimer,
    { machines, folder }: { machines: number; folder: string },
  ): Promise<SoakCluster> {
    const store = await StoreStandIn.listen();
    const cluster = new SoakCluster(timer, store);
    const [callers = 0, peers = 0, operators = 0, target = 0, storePort = 0] =
      await findFreePorts(PORT_COUNT);
    const failureDomains = Object.keys(REGIONS);
    cluster.#publishConfiguration();
    for (let index = 0; index < machines; index += 1) {
      const machine = new SoakMachine({
        number: index + 1,
        pool: POOLS[index % POOLS.length] ?? POOLS[0],
        failureDomain:
          failureDomains[Math.floor(index / POOLS.length) % failureDomains.length] ?? '',
        regions: REGIONS,
        ports: { callers, peers, operators, target, store: storePort },
        store: { host: '127.0.0.1', port: Number(new URL(store.url).port) },
        folder,
        timer,
        onRun: (run, runMachine) => {
          cluster.#recordRun({ ...run, region: runMachine.region }, runMachine);
        },
        onUnexpectedExit: (exited, code) => {
          cluster.findings.push(
            makeFinding(Guarantee.UnexpectedExit, `${exited.id} exited with ${code ?? 'a signal'}`),
          );
        },
      });
      cluster.machines.push(machine);
      await cluster.#startTarget(machine);
      await machine.start();
    }
    return cluster;
  }

  /** @returns Names of the failure domains with machines. */
  get failureDomains(): string[] {
    return [...new Set(this.machines.map(({ failureDomain }) => failureDomain))];
  }

  /**
   * Records a completed call. A fault around the call permits a lost answer.
   *
   * @param call The call.
   */
  recordCall(call: ObservedCall): void {
    const machines = this.#machinesByCall.get(call.id) ?? [];
    const areMachinesFaultFree = machines.every((machine) =>
      machine.wasFaultFreeSince(call.sentAtMs),
    );
    this.calls.push({ ...call, wasFaultFree: call.wasFaultFree && areMachinesFaultFree });
  }

  /**
   * Makes the store fail for all readers for a while.
   *
   * @param mode How the store fails.
   * @param durationMs Duration in milliseconds.
   */
  async injectStoreOutage(mode: StoreMode, durationMs: number): Promise<void> {
    for (const machine of this.machines) machine.recordFault(this.timer.now() + durationMs);
    this.#store.mode = mode;
    await sleep(this.timer, durationMs);
    this.#store.mode = StoreMode.Up;
  }

  /**
   * Makes the store come back from a copy. Operators and targets write again what was lost, and
   * registrations that nobody renews expire.
   *
   * @param ageMs Age of the copy, in milliseconds.
   * @param awayMs Time for which the store is away, in milliseconds.
   */
  async restoreStore(ageMs: number, awayMs: number): Promise<void> {
    const copy = this.#store.copy();
    await sleep(this.timer, ageMs);
    const settlesAtMs = this.timer.now() + awayMs + EXPIRY_MS;
    for (const machine of this.machines) machine.recordFault(settlesAtMs);
    this.#store.mode = StoreMode.Resetting;
    await sleep(this.timer, awayMs);
    this.#store.restore(copy);
    this.#store.mode = StoreMode.Up;
    await sleep(this.timer, REWRITE_MS);
    this.#writeAgain();
    await sleep(this.timer, EXPIRY_MS - REWRITE_MS);
    const currentKeys = this.machines.map(({ target }) => makeEntryKey(target.targetId));
    for (const key of this.#store.keys(ENTRY_PREFIX))
      if (!currentKeys.includes(key)) this.#store.remove(key);
  }

  /** Makes the store drop its history. */
  dropHistory(): void {
    this.#store.dropHistory();
  }

  /**
   * Crashes a target and starts another incarnation of it after a delay.
   *
   * @param machine Machine of the target.
   */
  async restartTarget(machine: SoakMachine): Promise<void> {
    if (this.#restartingTargets.has(machine)) return;
    this.#restartingTargets.add(machine);
    machine.recordFault(this.timer.now() + TARGET_RESTART_DELAY_MS);
    const key = makeEntryKey(machine.target.targetId);
    await machine.target.crash();
    await sleep(this.timer, TARGET_RESTART_DELAY_MS);
    this.#store.remove(key);
    await this.#startTarget(machine);
    this.#restartingTargets.delete(machine);
  }

  /**
   * Ends a target, has one of another pool use its address for a while, and starts the machine's
   * own target again. The store still lists the ended one meanwhile.
   *
   * @param machine Machine of the target.
   * @param heldMs Time for which the other target has the address, in milliseconds.
   */
  async reuseAddress(machine: SoakMachine, heldMs: number): Promise<void> {
    if (this.#restartingTargets.has(machine)) return;
    this.#restartingTargets.add(machine);
    const { target } = machine;
    machine.recordFault(this.timer.now() + 2 * ADDRESS_REUSE_MS + heldMs);
    const key = makeEntryKey(target.targetId);
    await target.crash();
    await sleep(this.timer, ADDRESS_REUSE_MS);
    await target.start(machine.makeForeignTargetId());
    await sleep(this.timer, heldMs);
    await target.crash();
    await sleep(this.timer, TARGET_RESTART_DELAY_MS);
    this.#store.remove(key);
    await this.#startTarget(machine);
    this.#restartingTargets.delete(machine);
  }

  /**
   * Registers a target as leaving and restarts it after a while.
   *
   * @param machine Machine of the target.
   */
  async drainTarget(machine: SoakMachine): Promise<void> {
    if (this.#restartingTargets.has(machine)) return;
    const { targetId } = machine.target;
    machine.target.isLeaving = true;
    this.#putRegistration(machine, true);
    this.#drainedAtMs.set(targetId, this.timer.now());
    await sleep(this.timer, TARGET_DRAIN_MS);
    if (machine.target.targetId === targetId) await this.restartTarget(machine);
  }

  /**
   * Takes a failure domain out of service for a while.
   *
   * @param failureDomain Name of the failure domain.
   * @param durationMs Duration in milliseconds.
   */
  async evacuate(failureDomain: string, durationMs: number): Promise<void> {
    if (this.#evacuatedAtMs.has(failureDomain)) return;
    this.#store.put(makeEvacuationKey(failureDomain), {});
    this.#evacuatedAtMs.set(failureDomain, this.timer.now());
    await sleep(this.timer, durationMs);
    this.#evacuatedAtMs.delete(failureDomain);
    this.#store.remove(makeEvacuationKey(failureDomain));
  }

  /**
   * Publishes a new version of the configuration with one more route.
   *
   * @returns Path prefix of the new route.
   */
  addRoute(): string {
    const prefix = `/added-${this.#version}/`;
    const name = `added-${this.#version}`;
    this.#routes.push({ name, prefix, pool: 'boards', isSafe: true, homeRegions: [] });
    this.#publishConfiguration();
    return prefix;
  }

  /** Stops all daemons, targets and proxies, and the store. */
  async close(): Promise<void> {
    await Promise.all(this.machines.map((machine) => machine.close()));
    this.#store.close();
  }

  #publishConfiguration(): void {
    this.#version += 1;
    this.#putConfiguration();
  }

  #writeAgain(): void {
    this.#putConfiguration();
    for (const failureDomain of this.failureDomains) {
      const key = makeEvacuationKey(failureDomain);
      if (this.#evacuatedAtMs.has(failureDomain)) this.#store.put(key, {});
      else this.#store.remove(key);
    }
    for (const machine of this.machines) {
      if (!this.#restartingTargets.has(machine))
        this.#putRegistration(machine, machine.target.isLeaving);
    }
  }

  #putConfiguration(): void {
    this.#store.put(CONFIGURATION_KEY, makeConfigurationValue(this.#version, POOLS, this.#routes));
  }

  async #startTarget(machine: SoakMachine): Promise<void> {
    await machine.target.start(machine.makeTargetId());
    this.#putRegistration(machine, false);
  }

  #putRegistration(
    { target, targetAddress, pool, failureDomain }: SoakMachine,
    isLeaving: boolean,
  ): void {
    const bornMs = wallNow();
    const registration = {
      pool,
      address: targetAddress,
      failureDomain,
      slots: SLOTS,
      isLeaving,
      bornMs,
    };
    this.#store.put(makeEntryKey(target.targetId), makeEntryValue(registration));
  }

  #recordRun(run: ObservedRun, machine: SoakMachine): void {
    this.runs.push(run);
    if (run.path === CRASHING_PATH) void this.restartTarget(machine);
    if (machine.isForeign(run.targetId))
      this.findings.push(makeFinding(Guarantee.Pool, `call ${run.callId} ran at ${run.targetId}`));
    this.#machinesByCall.set(run.callId, [
      ...(this.#machinesByCall.get(run.callId) ?? []),
      machine,
    ]);
    if (!this.machines.every((each) => each.wasFaultFreeSince(run.atMs))) return;
    const lateMs = (since: number | undefined, limitMs: number) =>
      run.atMs - (since ?? Infinity) - limitMs;
    const { failureDomain } = machine;
    if (lateMs(this.#drainedAtMs.get(run.targetId), DRAIN_LIMIT_MS) > 0) {
      this.findings.push(makeFinding(Guarantee.Drain, `call ${run.callId} ran at ${run.targetId}`));
    }
    if (lateMs(this.#evacuatedAtMs.get(failureDomain), EVACUATION_LIMIT_MS) > 0) {
      this.findings.push(
        makeFinding(Guarantee.Evacuation, `call ${run.callId} ran in ${failureDomain}`),
      );
    }
  }
}
