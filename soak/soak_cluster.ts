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
import { freePorts } from '../demo/free_ports.ts';
import { sleep, wallNow, type RealTimer } from '../timer/mod.ts';
import {
  makeFinding,
  Guarantee,
  type ObservedCall,
  type ObservedRun,
  type SoakFinding,
} from './guarantees.ts';
import { SoakMachine } from './soak_machine.ts';

/** Failure domains and their regions. */
const REGIONS: Readonly<Record<string, string>> = {
  'centro-a': 'ar-centro',
  'norte-a': 'ar-norte',
  'sur-a': 'ar-sur',
};
const POOLS = ['boards', 'results'] as const;
const SLOTS = 6;
/** Bounds of the users' sites, in milliseconds. */
const DRAIN_BOUND_MS = 2_500;
const EVACUATION_BOUND_MS = 5_000;
/** Time for which a target that leaves still serves, in milliseconds. */
const LEAVING_MS = 4_000;
/** Time from the end of a target's run to its next one, in milliseconds. */
const TARGET_RESTART_MS = 500;
const PORTS = 5;

/** Routes that every configuration has. */
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

/** The machines of one soak, their store, and what operators do with them. */
export class SoakCluster {
  readonly timer: RealTimer;
  readonly machines: SoakMachine[] = [];
  readonly runs: ObservedRun[] = [];
  readonly calls: ObservedCall[] = [];
  readonly findings: SoakFinding[] = [];
  readonly #store: StoreStandIn;
  readonly #runPlaces = new Map<string, SoakMachine[]>();
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
   * @param timer The source of time.
   * @param options Number of machines, and a folder for their settings and logs.
   * @returns The world; its daemons are starting.
   */
  static async start(
    timer: RealTimer,
    { machines, folder }: { machines: number; folder: string },
  ): Promise<SoakCluster> {
    const store = await StoreStandIn.listen();
    const world = new SoakCluster(timer, store);
    const [callers = 0, peers = 0, operators = 0, target = 0, storePort = 0] =
      await freePorts(PORTS);
    const domains = Object.keys(REGIONS);
    world.#publish();
    for (let index = 0; index < machines; index += 1) {
      const machine = new SoakMachine({
        number: index + 1,
        pool: POOLS[index % POOLS.length] ?? POOLS[0],
        failureDomain: domains[Math.floor(index / POOLS.length) % domains.length] ?? '',
        regions: REGIONS,
        ports: { callers, peers, operators, target, store: storePort },
        store: { host: '127.0.0.1', port: Number(new URL(store.url).port) },
        folder,
        timer,
        onRun: (run, at) => {
          world.#recordRun({ ...run, region: at.region }, at);
        },
        onUnexpectedExit: (at, code) => {
          world.findings.push(
            makeFinding(Guarantee.UnexpectedExit, `${at.id} ended with ${code ?? 'a signal'}`),
          );
        },
      });
      world.machines.push(machine);
      await world.#startTarget(machine);
      await machine.start();
    }
    return world;
  }

  /** @returns Names of the failure domains that have machines. */
  get failureDomains(): string[] {
    return [...new Set(this.machines.map(({ failureDomain }) => failureDomain))];
  }

  /** @param call A call that has ended; a fault around it excuses a lost answer. */
  recordCall(call: ObservedCall): void {
    const places = this.#runPlaces.get(call.id) ?? [];
    const isCalm = places.every((machine) => machine.wasFaultFreeSince(call.sentAtMs));
    this.calls.push({ ...call, wasFaultFree: call.wasFaultFree && isCalm });
  }

  /**
   * Has the store treat all readers badly for a while.
   *
   * @param mode How.
   * @param forMs For how long, in milliseconds.
   */
  async injectStoreOutage(mode: StoreMode, forMs: number): Promise<void> {
    for (const machine of this.machines) machine.recordFault(this.timer.now() + forMs);
    this.#store.mode = mode;
    await sleep(this.timer, forMs);
    this.#store.mode = StoreMode.Up;
  }

  /** Has the store forget its history. */
  dropHistory(): void {
    this.#store.dropHistory();
  }

  /** @param machine Machine whose target crashes; another run begins a while later. */
  async restartTarget(machine: SoakMachine): Promise<void> {
    if (this.#restartingTargets.has(machine)) return;
    this.#restartingTargets.add(machine);
    machine.recordFault(this.timer.now() + TARGET_RESTART_MS);
    const key = makeEntryKey(machine.target.targetId);
    await machine.target.crash();
    await sleep(this.timer, TARGET_RESTART_MS);
    this.#store.remove(key);
    await this.#startTarget(machine);
    this.#restartingTargets.delete(machine);
  }

  /** @param machine Machine whose target says that it leaves, serves on for a while, and ends. */
  async drainTarget(machine: SoakMachine): Promise<void> {
    const { targetId } = machine.target;
    this.#putEntry(machine, true);
    this.#drainedAtMs.set(targetId, this.timer.now());
    await sleep(this.timer, LEAVING_MS);
    if (machine.target.targetId === targetId) await this.restartTarget(machine);
  }

  /**
   * @param failureDomain Name of a failure domain to take out of service for a while.
   * @param forMs For how long, in milliseconds.
   */
  async evacuate(failureDomain: string, forMs: number): Promise<void> {
    if (this.#evacuatedAtMs.has(failureDomain)) return;
    this.#store.put(makeEvacuationKey(failureDomain), {});
    this.#evacuatedAtMs.set(failureDomain, this.timer.now());
    await sleep(this.timer, forMs);
    this.#evacuatedAtMs.delete(failureDomain);
    this.#store.remove(makeEvacuationKey(failureDomain));
  }

  /** @returns Prefix of a route that a new version of the configuration has added. */
  addRoute(): string {
    const prefix = `/added-${this.#version}/`;
    const name = `added-${this.#version}`;
    this.#routes.push({ name, prefix, pool: 'boards', isSafe: true, homeRegions: [] });
    this.#publish();
    return prefix;
  }

  /** Ends every process that the soak has started, and the store. */
  async close(): Promise<void> {
    await Promise.all(this.machines.map((machine) => machine.close()));
    this.#store.close();
  }

  #publish(): void {
    this.#version += 1;
    this.#store.put(CONFIGURATION_KEY, makeConfigurationValue(this.#version, POOLS, this.#routes));
  }

  async #startTarget(machine: SoakMachine): Promise<void> {
    await machine.target.start(machine.makeTargetId());
    this.#putEntry(machine, false);
  }

  #putEntry({ target, targetAddress, pool, failureDomain }: SoakMachine, isLeaving: boolean): void {
    const bornMs = wallNow();
    const entry = { pool, address: targetAddress, failureDomain, slots: SLOTS, isLeaving, bornMs };
    this.#store.put(makeEntryKey(target.targetId), makeEntryValue(entry));
  }

  #recordRun(run: ObservedRun, machine: SoakMachine): void {
    this.runs.push(run);
    this.#runPlaces.set(run.callId, [...(this.#runPlaces.get(run.callId) ?? []), machine]);
    if (!this.machines.every((each) => each.wasFaultFreeSince(run.atMs))) return;
    const lateMs = (since: number | undefined, boundMs: number) =>
      run.atMs - (since ?? Infinity) - boundMs;
    const { failureDomain } = machine;
    if (lateMs(this.#drainedAtMs.get(run.targetId), DRAIN_BOUND_MS) > 0) {
      this.findings.push(makeFinding(Guarantee.Drain, `call ${run.callId} ran at ${run.targetId}`));
    }
    if (lateMs(this.#evacuatedAtMs.get(failureDomain), EVACUATION_BOUND_MS) > 0) {
      this.findings.push(
        makeFinding(Guarantee.Evacuation, `call ${run.callId} ran in ${failureDomain}`),
      );
    }
  }
}
