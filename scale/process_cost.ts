import { readUsage } from '../bench/child_program.ts';
import { Deployment } from '../demo/deployment.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import {
  FLEET_DOMAINS,
  TARGETS_PER_SERVICE,
  makeFleetConfiguration,
} from './fleet_configuration.ts';

const SETTLE_MS = 3_000;
const IDLE_MS = 5_000;
const VERSIONS = 5;
const VERSION_PERIOD_MS = 1_000;

/** Cost of a daemon process in a fleet of one size. */
export interface ProcessCost {
  daemons: number;
  /** Mean resident memory of a daemon, in bytes. */
  residentBytes: number;
  /** Mean processor time of an idle daemon per second, in milliseconds. */
  idleCpuMsPerSecond: number;
  /** Mean processor time of a daemon for one version, in milliseconds. */
  cpuMsPerVersion: number;
}

/**
 * Starts a fleet of daemon processes and measures what they use, idle and with new versions.
 *
 * @param daemons Number of daemon processes.
 * @param timer Timer for waits.
 * @returns Mean cost of a daemon.
 */
export async function measureProcessCost(
  daemons: number,
  timer: TimerService,
): Promise<ProcessCost> {
  const services = Math.max(1, Math.round(daemons / TARGETS_PER_SERVICE));
  const deployment = await Deployment.start({
    configuration: JSON.stringify(makeFleetConfiguration(services, { version: 1 })),
    instances: Array.from({ length: daemons }, (_, index) => ({
      id: `instance-${index}`,
      pool: `service-${index % services}`,
      failureDomain: FLEET_DOMAINS[index % FLEET_DOMAINS.length] ?? '',
    })),
  });
  await sleep(timer, SETTLE_MS);
  const startUsage = sumUsages(deployment);
  await sleep(timer, IDLE_MS);
  const idleUsage = sumUsages(deployment);
  for (let change = 1; change <= VERSIONS; change += 1) {
    const patch = [{ op: 'replace' as const, path: '/routes/0/timeoutMs', value: 1_000 + change }];
    deployment.platform.publish(change, patch);
    await sleep(timer, VERSION_PERIOD_MS);
  }
  const endUsage = sumUsages(deployment);
  await deployment.stop();
  const idleCpuMsPerSecond = ((idleUsage.cpuMs - startUsage.cpuMs) * 1_000) / IDLE_MS / daemons;
  const idleShareMs = idleCpuMsPerSecond * ((VERSIONS * VERSION_PERIOD_MS) / 1_000);
  const versionsMs = (endUsage.cpuMs - idleUsage.cpuMs) / daemons - idleShareMs;
  return {
    daemons,
    residentBytes: endUsage.residentBytes / daemons,
    idleCpuMsPerSecond,
    cpuMsPerVersion: Math.max(0, versionsMs) / VERSIONS,
  };
}

function sumUsages(deployment: Deployment): { cpuMs: number; residentBytes: number } {
  const usages = deployment.members.map(({ process: child }) => readUsage(child));
  return {
    cpuMs: usages.reduce((sum, { cpuMs }) => sum + cpuMs, 0),
    residentBytes: usages.reduce((sum, { residentBytes }) => sum + residentBytes, 0),
  };
}
