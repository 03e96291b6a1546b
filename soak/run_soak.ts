import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Client } from 'undici';
import { SeededRandom } from '../random/mod.ts';
import type { PlatformRoute } from '../stand_in/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import {
  AddressReuse,
  ConfigurationChange,
  CrashingCall,
  Evacuation,
  HistoryLoss,
  PathFault,
  PlannedStop,
  ProcessKill,
  ProcessPause,
  SettingsReload,
  StoreOutage,
  StoreRestore,
  TargetDrain,
  TargetRate,
  TargetRestart,
  pickOne,
  type SoakFault,
} from './faults.ts';
import { Guarantee, makeFinding, findViolations, type SoakFinding } from './guarantees.ts';
import { SoakClient } from './soak_client.ts';
import { ROUTES, SoakCluster } from './soak_cluster.ts';

/** Time from the start to the first fault, in milliseconds: enough for daemons and targets to start and warm up on a busy machine. */
const WARM_UP_MS = 6_000;
/** Time from one target that names a rate to the next, in milliseconds. */
const RATE_INTERVAL_MS = 3_000;
/** Time from one restore of the store to the next, in milliseconds. */
const RESTORE_INTERVAL_MS = 6_000;
/** Time from one reuse of an address to the next, in milliseconds. */
const REUSE_INTERVAL_MS = 4_000;
/** Time from one call that crashes its targets to the next, in milliseconds. */
const CRASH_INTERVAL_MS = 700;
/** Time between two faults, in milliseconds. */
const FAULT_INTERVAL_MS = { min: 100, max: 1_500 };
/** Time after the last fault by which service must have recovered, in milliseconds: below the sites' `recovery`. */
const RECOVERY_MS = 12_000;
const CLIENTS_PER_MACHINE = 3;
/** Calls at each machine after the recovery; a quarter must be answered. */
const FINAL_CALLS = 8;
const MIN_FINAL_CALLS_ANSWERED = 2;
/** Time by which a new version must be in force, in milliseconds: the sites' `config`. */
const CONFIGURATION_LIMIT_MS = 2_500;

/** Options of {@linkcode runSoak}. */
export interface SoakOptions {
  /** Seed of the faults and the calls. */
  seed: number;
  /** Number of machines, each with a daemon. */
  machines: number;
  /** Time during which faults are injected, in milliseconds. */
  faultPhaseMs: number;
  /** Called when a fault is injected, with the milliseconds since the start of the fault phase and its name. */
  onFault?: (atMs: number, name: string) => void;
}

/** Result of a soak. */
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
 * Runs daemons as processes, injects faults, and checks what clients and targets observe.
 *
 * @param options Options of the soak.
 * @returns The report.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, machines, faultPhaseMs } = options;
  const timer = new RealTimer();
  const random = new SeededRandom(seed);
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbkeel-soak-'));
  const cluster = await SoakCluster.start(timer, { machines, folder });
  await sleep(timer, WARM_UP_MS);
  const stopClients = new AbortController();
  const clients = cluster.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, (_, index) => {
      const name = `${machine.id}-${index}`;
      return new SoakClient(cluster, machine, {
        name,
        random: new SeededRandom(random.below(1e9)),
      });
    }),
  );
  const clientRuns = clients.map((client) => client.run(stopClients.signal));
  const rates = injectEvery(new TargetRate(), cluster, {
    random: new SeededRandom(seed),
    intervalMs: RATE_INTERVAL_MS,
    faultPhaseMs,
  });
  const restores = injectEvery(new StoreRestore(), cluster, {
    random: new SeededRandom(seed),
    intervalMs: RESTORE_INTERVAL_MS,
    faultPhaseMs,
  });
  const reuses = injectEvery(new AddressReuse(), cluster, {
    random: new SeededRandom(seed),
    intervalMs: REUSE_INTERVAL_MS,
    faultPhaseMs,
  });
  const crashes = injectEvery(new CrashingCall(), cluster, {
    random: new SeededRandom(seed),
    intervalMs: CRASH_INTERVAL_MS,
    faultPhaseMs,
  });
  const faults = await injectFaults(cluster, { ...options, random, faultPhaseMs });
  await Promise.all([rates, restores, reuses, crashes]);
  await sleep(timer, RECOVERY_MS);
  stopClients.abort();
  await Promise.all(clientRuns);
  await checkService(cluster);
  await cluster.close();
  const { calls, runs } = cluster;
  return {
    findings: [...cluster.findings, ...findViolations(calls, runs)],
    calls: calls.length,
    answered: calls.filter(({ status }) => status === 200).length,
    runs: runs.length,
    faults,
    folder,
  };
}

/** Injects random faults, which may overlap, and returns their number. */
async function injectFaults(
  cluster: SoakCluster,
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
  const { timer } = cluster;
  const startMs = timer.now();
  const injected: Promise<void>[] = [];
  while (timer.now() - startMs < faultPhaseMs) {
    const fault = pickOne(kinds, random);
    onFault?.(Math.round(timer.now() - startMs), fault.name);
    injected.push(fault.inject(cluster, random));
    await sleep(
      timer,
      FAULT_INTERVAL_MS.min + random.below(FAULT_INTERVAL_MS.max - FAULT_INTERVAL_MS.min),
    );
  }
  await Promise.all(injected);
  return injected.length;
}

/** Options of {@linkcode injectEvery}. */
interface InjectEveryOptions {
  random: SeededRandom;
  /** Time between two injections, in milliseconds. */
  intervalMs: number;
  faultPhaseMs: number;
}

/**
 * Injects one fault again and again during the fault phase. It has its own random numbers, so that
 * the sequence of the other faults for a seed stays the same.
 */
async function injectEvery(
  fault: SoakFault,
  cluster: SoakCluster,
  { random, intervalMs, faultPhaseMs }: InjectEveryOptions,
): Promise<void> {
  const startMs = cluster.timer.now();
  const injected: Promise<void>[] = [];
  while (cluster.timer.now() - startMs < faultPhaseMs) {
    injected.push(fault.inject(cluster, random));
    await sleep(cluster.timer, intervalMs);
  }
  await Promise.all(injected);
}

/** Checks after the recovery that every machine answers calls, on a route that was just added. */
async function checkService(cluster: SoakCluster): Promise<void> {
  const prefix = cluster.addRoute();
  await sleep(cluster.timer, CONFIGURATION_LIMIT_MS);
  const [boardRoute] = ROUTES;
  if (!boardRoute) return;
  for (const machine of cluster.machines) {
    const addedRoute: PlatformRoute = { ...boardRoute, prefix };
    const random = new SeededRandom(1);
    const soakClient = new SoakClient(cluster, machine, { name: `${machine.id}-last`, random });
    const connection = new Client(machine.origin);
    const statuses: (number | undefined)[] = [];
    for (let call = 0; call < FINAL_CALLS; call += 1) {
      statuses.push((await soakClient.call(connection, addedRoute)).status);
    }
    await connection.destroy();
    const detail = `${machine.id} answers ${statuses.join(',')}`;
    if (statuses.includes(404)) cluster.findings.push(makeFinding(Guarantee.Configuration, detail));
    if (statuses.filter((status) => status === 200).length < MIN_FINAL_CALLS_ANSWERED) {
      cluster.findings.push(makeFinding(Guarantee.Recovery, detail));
    }
  }
}
