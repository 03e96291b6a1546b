import { InProcessCluster } from '../fakes/mod.ts';
import {
  FLEET_DOMAINS,
  TARGETS_PER_SERVICE,
  makeFleetConfiguration,
} from './fleet_configuration.ts';

const START_MS = 8_000;
const IDLE_MS = 120_000;
const VERSIONS = 5;
const CHANGE_PERIOD_MS = 10_000;
const POLL_PERIOD_MS = 10;
const FLEET_CHANGES = 5;

/** Control traffic of a fleet of one size, measured in virtual time. */
export interface ControlCost {
  daemons: number;
  configurationBytes: number;
  fleetBytes: number;
  /** Bytes that a daemon sends and receives in a second without changes: mean and maximum. */
  idleBytesPerSecond: number;
  idleBytesPerSecondMax: number;
  /** Reads and watches at the platform in a second without changes. */
  platformReadsPerSecond: number;
  /** Bytes that a daemon sends and receives for one version of the configuration: mean and maximum. */
  bytesPerVersion: number;
  bytesPerVersionMax: number;
  /** Bytes that a daemon sends and receives for one change of the instance list: mean and maximum. */
  bytesPerFleetChange: number;
  bytesPerFleetChangeMax: number;
  /** Longest time from publication until a version is in force on all daemons, in milliseconds. */
  inForceMs: number;
  /** Largest number of links of a daemon. */
  linksMax: number;
}

/**
 * Runs a fleet of real daemons over fake links and measures its control traffic.
 *
 * @param daemons Number of daemons.
 * @returns The measured control traffic.
 */
export async function measureControlCost(daemons: number): Promise<ControlCost> {
  const services = Math.max(1, Math.round(daemons / TARGETS_PER_SERVICE));
  const configuration = makeFleetConfiguration(services, { version: 1 });
  const cluster = await InProcessCluster.start({
    configuration,
    instances: Array.from({ length: daemons }, (_, index) => ({
      id: `instance-${index}`,
      pool: `service-${index % services}`,
      failureDomain: FLEET_DOMAINS[index % FLEET_DOMAINS.length] ?? '',
    })),
    delayMs: (from, to) => getLinkDelayMs(from, to),
    logCapacity: 16,
  });
  await cluster.timer.advance(START_MS);
  const idle = await measureTraffic(cluster, () => cluster.timer.advance(IDLE_MS));
  const publication = await measurePublication(cluster, services);
  const fleetChanges = await measureFleetChanges(cluster);
  const idleSeconds = IDLE_MS / 1_000;
  return {
    daemons,
    configurationBytes: JSON.stringify(configuration).length,
    fleetBytes: JSON.stringify(cluster.members.map(({ instance }) => instance)).length,
    idleBytesPerSecond: idle.mean / idleSeconds,
    idleBytesPerSecondMax: idle.max / idleSeconds,
    platformReadsPerSecond: idle.platformReads / idleSeconds,
    bytesPerVersion: computeChangeBytes(publication.traffic.mean, idle.mean, VERSIONS),
    bytesPerVersionMax: computeChangeBytes(publication.traffic.max, idle.max, VERSIONS),
    bytesPerFleetChange: computeChangeBytes(fleetChanges.mean, idle.mean, FLEET_CHANGES),
    bytesPerFleetChangeMax: computeChangeBytes(fleetChanges.max, idle.max, FLEET_CHANGES),
    inForceMs: publication.inForceMs,
    linksMax: Math.max(...cluster.members.map(({ daemon }) => daemon.status.links)),
  };
}

/** Computes the bytes of one change, less the idle traffic of the same time. */
function computeChangeBytes(bytes: number, idleBytes: number, changes: number): number {
  const idleShare = (CHANGE_PERIOD_MS * changes) / IDLE_MS;
  return Math.max(0, bytes - idleBytes * idleShare) / changes;
}

interface Traffic {
  mean: number;
  max: number;
  platformReads: number;
}

async function measureTraffic(
  cluster: InProcessCluster,
  action: () => Promise<void>,
): Promise<Traffic> {
  const before = countLinkBytes(cluster);
  const readsBefore = cluster.platform.reads;
  await action();
  const transferred = countLinkBytes(cluster).map((bytes, index) =>
    Math.max(0, bytes - (before[index] ?? 0)),
  );
  return {
    mean: transferred.reduce((sum, bytes) => sum + bytes, 0) / transferred.length,
    max: Math.max(...transferred),
    platformReads: cluster.platform.reads - readsBefore,
  };
}

function countLinkBytes(cluster: InProcessCluster): number[] {
  return cluster.members.map(({ daemon }) => {
    const { linkBytesSent, linkBytesReceived } = daemon.status;
    return linkBytesSent + linkBytesReceived;
  });
}

async function measurePublication(
  cluster: InProcessCluster,
  services: number,
): Promise<{ traffic: Traffic; inForceMs: number }> {
  let inForceMs = 0;
  const traffic = await measureTraffic(cluster, async () => {
    for (let change = 1; change <= VERSIONS; change += 1) {
      const version = change + 1;
      const timeoutMs = 1_000 + change;
      cluster.platform.publish(makeFleetConfiguration(services, { version, timeoutMs }));
      const tookMs = await waitUntilInForce(cluster, version);
      inForceMs = Math.max(inForceMs, tookMs);
      await cluster.timer.advance(CHANGE_PERIOD_MS - tookMs);
    }
  });
  return { traffic, inForceMs };
}

async function waitUntilInForce(cluster: InProcessCluster, version: number): Promise<number> {
  const isBehind = () =>
    cluster.members.some(({ daemon }) => daemon.status.configurationVersion < version);
  let tookMs = 0;
  while (tookMs < CHANGE_PERIOD_MS && isBehind()) {
    await cluster.timer.advance(POLL_PERIOD_MS);
    tookMs += POLL_PERIOD_MS;
  }
  return tookMs;
}

function measureFleetChanges(cluster: InProcessCluster): Promise<Traffic> {
  return measureTraffic(cluster, async () => {
    for (let change = 0; change < FLEET_CHANGES; change += 1) {
      const replaced = cluster.members[change + 1];
      if (replaced) replaced.instance.callerAddress = `replaced-${change}`;
      cluster.publishInstances();
      await cluster.timer.advance(CHANGE_PERIOD_MS);
    }
  });
}

function getLinkDelayMs(from: string, to: string): number {
  if (from === to) return 0.2;
  return from.slice(0, 4) === to.slice(0, 4) ? 1.5 : 30;
}
