import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Client } from 'undici';
import { SeededRandom } from '../random/mod.ts';
import type { PlatformRoute } from '../stand_in/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import {
  ConfigurationChange,
  Evacuation,
  HistoryLoss,
  PathFault,
  PlannedStop,
  ProcessKill,
  ProcessPause,
  SettingsReload,
  StoreOutage,
  TargetDrain,
  TargetRestart,
  pickOne,
  type SoakFault,
} from './faults.ts';
import { Guarantee, makeFinding, findViolations, type SoakFinding } from './guarantees.ts';
import { SoakClient } from './soak_client.ts';
import { ROUTES, SoakCluster } from './soak_cluster.ts';

/** Time from the start to the first fault, in milliseconds: starts and warm-ups on a busy machine. */
const LEAD_MS = 6_000;
/** Shortest and longest time between two faults, in milliseconds. */
const GAP_MS = { least: 100, most: 1_500 };
/** Time after the last fault in which service has to be back, in milliseconds: below the sites' `recovery`. */
const RECOVERY_MS = 12_000;
const CLIENTS_PER_MACHINE = 3;
/** Calls of each machine after the recovery; a quarter must be served. */
const LAST_CALLS = 8;
const LAST_CALLS_SERVED = 2;
/** Time in which a version must be in force, in milliseconds: the sites' `config`. */
const CONFIGURATION_BOUND_MS = 2_500;

/** What a soak is to do. */
export interface SoakOptions {
  seed: number;
  machines: number;
  /** Time with faults, in milliseconds. */
  faultPhaseMs: number;
  /** Called with each fault as it happens. */
  onFault?: (atMs: number, name: string) => void;
}

/** What a soak has seen. */
export interface SoakReport {
  findings: SoakFinding[];
  calls: number;
  answered: number;
  runs: number;
  faults: number;
  /** Folder with the logs of the daemons. */
  folder: string;
}

/**
 * Runs daemons as processes, harms them, and checks what callers and targets see.
 *
 * @param options See {@linkcode SoakOptions}.
 * @returns What was seen.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, machines, faultPhaseMs } = options;
  const timer = new RealTimer();
  const random = new SeededRandom(seed);
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbkeel-soak-'));
  const world = await SoakCluster.start(timer, { machines, folder });
  await sleep(timer, LEAD_MS);
  const stop = new AbortController();
  const clients = world.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, (_, index) => {
      const name = `${machine.id}-${index}`;
      return new SoakClient(world, machine, { name, random: new SeededRandom(random.below(1e9)) });
    }),
  );
  const running = clients.map((client) => client.run(stop.signal));
  const faults = await playFaults(world, { ...options, random, faultPhaseMs });
  await sleep(timer, RECOVERY_MS);
  stop.abort();
  await Promise.all(running);
  await checkService(world);
  await world.close();
  const { calls, runs } = world;
  return {
    findings: [...world.findings, ...findViolations(calls, runs)],
    calls: calls.length,
    answered: calls.filter(({ status }) => status === 200).length,
    runs: runs.length,
    faults,
    folder,
  };
}

/** Faults follow one another without waiting for the end of those before. */
async function playFaults(
  world: SoakCluster,
  { random, faultPhaseMs, onFault }: SoakOptions & { random: SeededRandom },
): Promise<number> {
  const plannedStop = new PlannedStop();
  const kinds: SoakFault[] = [
    new ProcessPause(),
    new ProcessKill(),
    plannedStop,
    plannedStop,
    new SettingsReload(),
    new PathFault(),
    new StoreOutage(),
    new HistoryLoss(),
    new TargetRestart(),
    new TargetDrain(),
    new Evacuation(),
    new ConfigurationChange(),
  ];
  const { timer } = world;
  const startMs = timer.now();
  const happening: Promise<void>[] = [];
  while (timer.now() - startMs < faultPhaseMs) {
    const fault = pickOne(kinds, random);
    onFault?.(Math.round(timer.now() - startMs), fault.name);
    happening.push(fault.inject(world, random));
    await sleep(timer, GAP_MS.least + random.below(GAP_MS.most - GAP_MS.least));
  }
  await Promise.all(happening);
  return happening.length;
}

/** Once all is well again, every machine serves, also a route that was just added. */
async function checkService(world: SoakCluster): Promise<void> {
  const prefix = world.addRoute();
  await sleep(world.timer, CONFIGURATION_BOUND_MS);
  const [board] = ROUTES;
  if (!board) return;
  for (const machine of world.machines) {
    const added: PlatformRoute = { ...board, prefix };
    const random = new SeededRandom(1);
    const caller = new SoakClient(world, machine, { name: `${machine.id}-last`, random });
    const client = new Client(machine.origin);
    const statuses: (number | undefined)[] = [];
    for (let call = 0; call < LAST_CALLS; call += 1) {
      statuses.push((await caller.call(client, added)).status);
    }
    await client.destroy();
    const detail = `${machine.id} answers ${statuses.join(',')}`;
    if (statuses.includes(404)) world.findings.push(makeFinding(Guarantee.Configuration, detail));
    if (statuses.filter((status) => status === 200).length < LAST_CALLS_SERVED) {
      world.findings.push(makeFinding(Guarantee.Recovery, detail));
    }
  }
}
