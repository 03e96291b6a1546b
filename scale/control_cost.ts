import { InProcessCluster } from '../fakes/mod.ts';
import {
  FLEET_DOMAINS,
  TARGETS_PER_SERVICE,
  makeFleetConfiguration,
} from './fleet_configuration.ts';

const START_MS = 8_000;
const IDLE_MS = 120_000;
const VERSIONS = 5;
const VERSION_PERIOD_MS = 10_000;
const POLL_MS = 10;
const CHANGES = 5;

/** What the control traffic of a fleet of one size came to, in virtual time. */
export interface ControlCost {
  daemons: number;
  configurationBytes: number;
  fleetBytes: number;
  /** Bytes sent and received by a daemon in a second without changes: mean and largest. */
  idleBytesPerSecond: number;
  idleBytesPerSecondMax: number;
  /** Reads and watches at the platform in a second without changes. */
  platformReadsPerSecond: number;
  /** Bytes of a daemon for one version of the configuration: mean and largest. */
  bytesPerVersion: number;
  bytesPerVersionMax: number;
  /** Bytes of a daemon for one change of the instance list: mean and largest. */
  bytesPerFleetChange: number;
  bytesPerFleetChangeMax: number;
  /** Longest time between publication and force on all daemons, in milliseconds. */
  inForceMs: number;
  /** Most links of any one daemon. */
  linksMax: number;
}

/**
 * Runs a fleet of real daemons over fake links and counts its control traffic.
 *
 * @param daemons Number of daemons.
 * @returns The counts.
 */
export async function measureControlCost(daemons: number): Promise<ControlCost> {
  const services = Math.max(1, Math.round(daemons / TARGETS_PER_SERVICE));
  const configuration = makeFleetConfiguration(services, { version: 1 });
  const world = await InProcessCluster.start({
    configuration,
    instances: Array.from({ length: daemons }, (_, index) => ({
      id: `instance-${index}`,
      pool: `service-${index % services}`,
      failureDomain: FLEET_DOMAINS[index % FLEET_DOMAINS.length] ?? '',
    })),
    delayMs: (from, to) => delayBetween(from, to),
    logCapacity: 16,
  });
  await world.timer.advance(START_MS);
  const idle = await measureTraffic(world, () => world.timer.advance(IDLE_MS));
  const spread = await measureSpread(world, services);
  const churn = await measureChurn(world);
  const idleSeconds = IDLE_MS / 1_000;
  return {
    daemons,
    configurationBytes: JSON.stringify(configuration).length,
    fleetBytes: JSON.stringify(world.members.map(({ instance }) => instance)).length,
    idleBytesPerSecond: idle.mean / idleSeconds,
    idleBytesPerSecondMax: idle.max / idleSeconds,
    platformReadsPerSecond: idle.platformReads / idleSeconds,
    bytesPerVersion: changeCost(spread.traffic.mean, idle.mean, VERSIONS),
    bytesPerVersionMax: changeCost(spread.traffic.max, idle.max, VERSIONS),
    bytesPerFleetChange: changeCost(churn.mean, idle.mean, CHANGES),
    bytesPerFleetChangeMax: changeCost(churn.max, idle.max, CHANGES),
    inForceMs: spread.inForceMs,
    linksMax: Math.max(...world.members.map(({ daemon }) => daemon.status.links)),
  };
}

/** Bytes of one change, without those that the same time without changes costs. */
function changeCost(bytes: number, idleBytes: number, changes: number): number {
  const idleShare = (VERSION_PERIOD_MS * changes) / IDLE_MS;
  return Math.max(0, bytes - idleBytes * idleShare) / changes;
}

interface Traffic {
  mean: number;
  max: number;
  platformReads: number;
}

async function measureTraffic(world: InProcessCluster, act: () => Promise<void>): Promise<Traffic> {
  const before = bytesOf(world);
  const readsBefore = world.platform.reads;
  await act();
  const spent = bytesOf(world).map((bytes, index) => Math.max(0, bytes - (before[index] ?? 0)));
  return {
    mean: spent.reduce((sum, bytes) => sum + bytes, 0) / spent.length,
    max: Math.max(...spent),
    platformReads: world.platform.reads - readsBefore,
  };
}

function bytesOf(world: InProcessCluster): number[] {
  return world.members.map(({ daemon }) => {
    const { linkBytesSent, linkBytesReceived } = daemon.status;
    return linkBytesSent + linkBytesReceived;
  });
}

async function measureSpread(
  world: InProcessCluster,
  services: number,
): Promise<{ traffic: Traffic; inForceMs: number }> {
  let inForceMs = 0;
  const traffic = await measureTraffic(world, async () => {
    for (let change = 1; change <= VERSIONS; change += 1) {
      const version = change + 1;
      const timeoutMs = 1_000 + change;
      world.platform.publish(makeFleetConfiguration(services, { version, timeoutMs }));
      const tookMs = await untilInForce(world, version);
      inForceMs = Math.max(inForceMs, tookMs);
      await world.timer.advance(VERSION_PERIOD_MS - tookMs);
    }
  });
  return { traffic, inForceMs };
}

async function untilInForce(world: InProcessCluster, version: number): Promise<number> {
  const isBehind = () =>
    world.members.some(({ daemon }) => daemon.status.configurationVersion < version);
  let tookMs = 0;
  while (tookMs < VERSION_PERIOD_MS && isBehind()) {
    await world.timer.advance(POLL_MS);
    tookMs += POLL_MS;
  }
  return tookMs;
}

function measureChurn(world: InProcessCluster): Promise<Traffic> {
  return measureTraffic(world, async () => {
    for (let change = 0; change < CHANGES; change += 1) {
      const replaced = world.members[change + 1];
      if (replaced) replaced.instance.callerAddress = `replaced-${change}`;
      world.publishInstances();
      await world.timer.advance(VERSION_PERIOD_MS);
    }
  });
}

function delayBetween(from: string, to: string): number {
  if (from === to) return 0.2;
  return from.slice(0, 4) === to.slice(0, 4) ? 1.5 : 30;
}
