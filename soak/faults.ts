import { Client } from 'undici';
import type { RandomSource } from '../random/mod.ts';
import { StoreMode } from '../stand_in/mod.ts';
import { sleep } from '../timer/mod.ts';
import { PathState } from './fault_proxy.ts';
import { CRASHING_PATH, Guarantee, makeFinding } from './guarantees.ts';
import { SoakClient } from './soak_client.ts';
import { MachinePath, type SoakMachine } from './soak_machine.ts';
import { ROUTES, type SoakCluster } from './soak_cluster.ts';

/** Longest duration of a fault, in milliseconds. */
const MAX_FAULT_MS = 3_000;
/** Time from SIGTERM by which the process must have exited, in milliseconds: the sites' `grace`. */
const SHUTDOWN_GRACE_MS = 6_000;
/** Highest rate that a target names, in calls per second. */
const MAX_NAMED_RATE = 4;
/** Shortest time for which a target names a rate, in milliseconds; longer than daemons may take to learn it. */
const MIN_RATE_MS = 7_000;
/** Largest age of the copy from which the store comes back, in milliseconds. */
const MAX_COPY_AGE_MS = 5_000;
/** Longest time for which the store is away before that, in milliseconds. */
const MAX_AWAY_MS = 1_500;
/** Lame-duck periods that a settings reload chooses from, in milliseconds. */
const LAME_DUCK_CHOICES_MS = [2_000, 2_500] as const;

/** A fault or an operation that is injected into a cluster from outside. */
export interface SoakFault {
  readonly name: string;
  /**
   * Injects the fault.
   *
   * @param cluster The cluster.
   * @param random Source of random numbers, which chooses the place and the duration.
   */
  inject(cluster: SoakCluster, random: RandomSource): Promise<void>;
}

/**
 * Picks an item at random.
 *
 * @param items The items.
 * @param random The source of random numbers.
 * @returns One of the items.
 * @throws {Error} If there are no items.
 */
export function pickOne<T>(items: readonly T[], random: RandomSource): T {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new Error('expected at least one item');
  return item;
}

/** Suspends a daemon process for a while. */
export class ProcessPause implements SoakFault {
  readonly name = 'process-pause';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(cluster.machines, random);
    const durationMs = random.below(MAX_FAULT_MS);
    machine.recordFault(cluster.timer.now() + durationMs);
    void machine.sendSignal('SIGSTOP');
    await sleep(cluster.timer, durationMs);
    void machine.sendSignal('SIGCONT');
  }
}

/** Kills a daemon process. */
export class ProcessKill implements SoakFault {
  readonly name = 'process-kill';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(cluster.machines, random);
    machine.recordFault(cluster.timer.now() + MAX_FAULT_MS);
    await machine.sendSignal('SIGKILL');
  }
}

/**
 * Tells a daemon process to stop. A process that is ready must exit in time with code 0.
 * The signal may kill a process that is still starting.
 */
export class PlannedStop implements SoakFault {
  readonly name = 'planned-stop';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const { timer } = cluster;
    const machine = pickOne(cluster.machines, random);
    if (this.#stoppingMachines.has(machine)) return;
    this.#stoppingMachines.add(machine);
    const isServing = await machine.isServing();
    const startMs = timer.now();
    const code = await machine.sendSignal('SIGTERM');
    const elapsedMs = Math.round(timer.now() - startMs);
    this.#stoppingMachines.delete(machine);
    if (!isServing || !machine.wasFaultFreeSince(startMs)) return;
    if (code === 0 && elapsedMs <= SHUTDOWN_GRACE_MS) return;
    const detail = `${machine.id} exited with ${code ?? 'a signal'} after ${elapsedMs} ms`;
    cluster.findings.push(makeFinding(Guarantee.PlannedStop, detail));
  }

  /** Machines whose daemon is stopping; a second signal would kill it at once. */
  readonly #stoppingMachines = new Set<SoakMachine>();
}

/** Changes the settings of a daemon and makes it reload them. */
export class SettingsReload implements SoakFault {
  readonly name = 'settings-reload';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(cluster.machines, random);
    machine.writeSettings(pickOne(LAME_DUCK_CHOICES_MS, random));
    // SIGHUP kills a process that has no signal handlers yet.
    if (await machine.isServing()) void machine.sendSignal('SIGHUP');
  }
}

/** Puts a fault on a network path to or from a machine for a while. */
export class PathFault implements SoakFault {
  readonly name = 'path-fault';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(cluster.machines, random);
    const proxy = machine.paths.get(pickOne(Object.values(MachinePath), random));
    const states = Object.values(PathState).filter((state) => state !== PathState.Open);
    const durationMs = random.below(MAX_FAULT_MS);
    // An unreachable machine also affects its peers.
    for (const affected of cluster.machines) affected.recordFault(cluster.timer.now() + durationMs);
    proxy?.setState(pickOne(states, random));
    await sleep(cluster.timer, durationMs);
    proxy?.setState(PathState.Open);
  }
}

/** Makes the store fail for all daemons for a while. */
export class StoreOutage implements SoakFault {
  readonly name = 'store-outage';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const modes = Object.values(StoreMode).filter((mode) => mode !== StoreMode.Up);
    await cluster.injectStoreOutage(pickOne(modes, random), random.below(MAX_FAULT_MS));
  }
}

/** Makes the store come back from a copy that is some seconds old. */
export class StoreRestore implements SoakFault {
  readonly name = 'store-restore';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    await cluster.restoreStore(random.below(MAX_COPY_AGE_MS), random.below(MAX_AWAY_MS));
  }
}

/** Makes the store drop its history. */
export class HistoryLoss implements SoakFault {
  readonly name = 'history-loss';

  inject(cluster: SoakCluster): Promise<void> {
    cluster.dropHistory();
    return Promise.resolve();
  }
}

/** Crashes a target, which then starts again, cold. */
export class TargetRestart implements SoakFault {
  readonly name = 'target-restart';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    await cluster.restartTarget(pickOne(cluster.machines, random));
  }
}

/** Gives the address of an ended target to one of another pool for a while. */
export class AddressReuse implements SoakFault {
  readonly name = 'address-reuse';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    await cluster.reuseAddress(pickOne(cluster.machines, random), random.below(MAX_FAULT_MS));
  }
}

/** Drains a target and replaces it with another incarnation. */
export class TargetDrain implements SoakFault {
  readonly name = 'target-drain';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    await cluster.drainTarget(pickOne(cluster.machines, random));
  }
}

/** Makes a target name a rate of calls that it takes, which ends after a while or with its process. */
export class TargetRate implements SoakFault {
  readonly name = 'target-rate';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const { target } = pickOne(cluster.machines, random);
    const { targetId } = target;
    target.nameRate(1 + random.below(MAX_NAMED_RATE));
    await sleep(cluster.timer, MIN_RATE_MS + random.below(MAX_FAULT_MS));
    if (target.targetId === targetId) target.nameRate(undefined);
  }
}

/** Makes a call that crashes each target that begins to run it, at any machine. */
export class CrashingCall implements SoakFault {
  readonly name = 'crashing-call';
  #count = 0;

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const [route] = ROUTES;
    if (!route) return;
    const machine = pickOne(cluster.machines, random);
    this.#count += 1;
    const name = `crashing-${this.#count}`;
    const client = new SoakClient(cluster, machine, { name, random });
    const connection = new Client(machine.origin);
    await client.call(connection, route, CRASHING_PATH);
    await connection.destroy();
  }
}

/** Takes a failure domain out of service and puts it back. */
export class Evacuation implements SoakFault {
  readonly name = 'evacuation';

  async inject(cluster: SoakCluster, random: RandomSource): Promise<void> {
    const durationMs = SHUTDOWN_GRACE_MS + random.below(MAX_FAULT_MS);
    await cluster.evacuate(pickOne(cluster.failureDomains, random), durationMs);
  }
}

/** Publishes a new version of the configuration with one more route. */
export class ConfigurationChange implements SoakFault {
  readonly name = 'configuration-change';

  inject(cluster: SoakCluster): Promise<void> {
    cluster.addRoute();
    return Promise.resolve();
  }
}
