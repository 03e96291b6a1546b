import type { RandomSource } from '../random/mod.ts';
import { StoreMode } from '../stand_in/mod.ts';
import { sleep } from '../timer/mod.ts';
import { PathState } from './fault_proxy.ts';
import { Guarantee, makeFinding } from './guarantees.ts';
import { MachinePath, type SoakMachine } from './soak_machine.ts';
import type { SoakCluster } from './soak_cluster.ts';

/** Longest fault, in milliseconds. */
const MAX_FAULT_MS = 3_000;
/** Time after a planned stop's signal by which the process must have ended, in milliseconds: the sites' `grace`. */
const GRACE_MS = 6_000;
/** Settings that a reload changes between, in milliseconds. */
const LAME_DUCK_CHOICES_MS = [2_000, 2_500] as const;

/** Something that happens to a world from outside. */
export interface SoakFault {
  readonly name: string;
  /**
   * @param world The world.
   * @param random Chooses where and for how long.
   */
  inject(world: SoakCluster, random: RandomSource): Promise<void>;
}

/**
 * @param items What to choose from.
 * @param random The source of random numbers.
 * @returns One of them.
 */
export function pickOne<T>(items: readonly T[], random: RandomSource): T {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new Error('expected something to choose from');
  return item;
}

/** A process stands still for a while. */
export class ProcessPause implements SoakFault {
  readonly name = 'process-pause';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(world.machines, random);
    const forMs = random.below(MAX_FAULT_MS);
    machine.recordFault(world.timer.now() + forMs);
    void machine.sendSignal('SIGSTOP');
    await sleep(world.timer, forMs);
    void machine.sendSignal('SIGCONT');
  }
}

/** A process ends without warning. */
export class ProcessKill implements SoakFault {
  readonly name = 'process-kill';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(world.machines, random);
    machine.recordFault(world.timer.now() + MAX_FAULT_MS);
    await machine.sendSignal('SIGKILL');
  }
}

/**
 * A process is told to stop; one that served must end by itself in time, with 0.
 * One that is just starting may end by the signal.
 */
export class PlannedStop implements SoakFault {
  readonly name = 'planned-stop';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const { timer } = world;
    const machine = pickOne(world.machines, random);
    if (this.#stopping.has(machine)) return;
    this.#stopping.add(machine);
    const isServing = await machine.isServing();
    const startMs = timer.now();
    const code = await machine.sendSignal('SIGTERM');
    const elapsedMs = Math.round(timer.now() - startMs);
    this.#stopping.delete(machine);
    if (!isServing || !machine.wasFaultFreeSince(startMs)) return;
    if (code === 0 && elapsedMs <= GRACE_MS) return;
    const detail = `${machine.id} ended with ${code ?? 'a signal'} after ${elapsedMs} ms`;
    world.findings.push(makeFinding(Guarantee.PlannedStop, detail));
  }

  /** Machines on which a stop is under way; a second signal would end them at once. */
  readonly #stopping = new Set<SoakMachine>();
}

/** Settings change, and the process is told. */
export class SettingsReload implements SoakFault {
  readonly name = 'settings-reload';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(world.machines, random);
    machine.writeSettings(pickOne(LAME_DUCK_CHOICES_MS, random));
    // A process that has not come to its first line yet ends by any signal.
    if (await machine.isServing()) void machine.sendSignal('SIGHUP');
  }
}

/** A way to or from a machine goes bad for a while. */
export class PathFault implements SoakFault {
  readonly name = 'path-fault';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const machine = pickOne(world.machines, random);
    const proxy = machine.paths.get(pickOne(Object.values(MachinePath), random));
    const states = Object.values(PathState).filter((state) => state !== PathState.Open);
    const forMs = random.below(MAX_FAULT_MS);
    // Peers of a machine that cannot be reached are harmed with it.
    for (const each of world.machines) each.recordFault(world.timer.now() + forMs);
    proxy?.setState(pickOne(states, random));
    await sleep(world.timer, forMs);
    proxy?.setState(PathState.Open);
  }
}

/** The store treats all daemons badly for a while. */
export class StoreOutage implements SoakFault {
  readonly name = 'store-outage';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const modes = Object.values(StoreMode).filter((mode) => mode !== StoreMode.Up);
    await world.injectStoreOutage(pickOne(modes, random), random.below(MAX_FAULT_MS));
  }
}

/** The store forgets its history. */
export class HistoryLoss implements SoakFault {
  readonly name = 'history-loss';

  inject(world: SoakCluster): Promise<void> {
    world.dropHistory();
    return Promise.resolve();
  }
}

/** A target crashes and starts again, cold. */
export class TargetRestart implements SoakFault {
  readonly name = 'target-restart';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    await world.restartTarget(pickOne(world.machines, random));
  }
}

/** A target leaves, and another run takes its place. */
export class TargetDrain implements SoakFault {
  readonly name = 'target-drain';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    await world.drainTarget(pickOne(world.machines, random));
  }
}

/** A failure domain is taken out and back in. */
export class Evacuation implements SoakFault {
  readonly name = 'evacuation';

  async inject(world: SoakCluster, random: RandomSource): Promise<void> {
    const forMs = GRACE_MS + random.below(MAX_FAULT_MS);
    await world.evacuate(pickOne(world.failureDomains, random), forMs);
  }
}

/** A new version of the configuration adds a route. */
export class ConfigurationChange implements SoakFault {
  readonly name = 'configuration-change';

  inject(world: SoakCluster): Promise<void> {
    world.addRoute();
    return Promise.resolve();
  }
}
