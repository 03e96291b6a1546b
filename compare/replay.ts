import { Outcome } from '../contract/mod.ts';
import { DomainState } from '../failure_domain/mod.ts';
import { NetworkPathState, InProcessCluster } from '../fakes/mod.ts';
import { configurationSchema, type ConfigurationDocument } from '../configuration/mod.ts';
import { settingsSchema } from '../settings/mod.ts';
import { ModelledTarget, SERVICE_HEADER } from './modelled_target.ts';
import type { Policy } from './policy.ts';
import {
  EVENT_WINDOW_MS,
  IN_TIME_LIMIT_MS,
  SLOTS_PER_TARGET,
  Scenario,
  TARGET_COUNT,
  TRACE_MS,
  getSlowdownAt,
  type CallArrival,
} from './scenario.ts';

/** Six failure domains, two in each of three regions; the region is the part before the hyphen. */
const DOMAINS = ['centro-a', 'centro-b', 'norte-a', 'norte-b', 'sur-a', 'sur-b'];
const SAME_REGION_MS = 1.5;
const OTHER_REGION_MS = 30;
const LOOPBACK_MS = 0.05;
const TIMEOUT_MS = 1_000;
const COLD_DURATION_MS = 1_000;
const COMPLETION_MS = 2_000;
const WARM_UP_CALLS = 240;
const WARM_UP_MS = 2_000;

/** Result of one trace under one policy. */
export interface TraceResult {
  /** Latency of each call, in milliseconds; `Infinity` if it was not answered with status 200. */
  latenciesMs: number[];
  answeredInTime: number;
  calls: number;
  /** Executions beyond one for each call, by retries and hedged attempts. */
  retries: number;
  /**
   * Calls counted as executed outside their entry's region: at least two inter-region delays beyond
   * the service time passed before the answer.
   */
  crossRegion: number;
  coldOverloads: number;
  /** Share of the targets' capacity that probes used. */
  probeShare: number;
}

/**
 * Replays a trace on real daemons in virtual time.
 *
 * @param scenario The scenario.
 * @param policy The policy of the daemons.
 * @param arrivals The trace.
 * @returns The result.
 */
export async function replayTrace(
  scenario: Scenario,
  policy: Policy,
  arrivals: readonly CallArrival[],
): Promise<TraceResult> {
  const run = await startRun(scenario, policy);
  await warmUp(run);
  run.startMs = run.cluster.timer.now();
  scheduleEvents(scenario, run);
  const result: TraceResult = {
    latenciesMs: [],
    answeredInTime: 0,
    calls: arrivals.length,
    retries: 0,
    crossRegion: 0,
    coldOverloads: 0,
    probeShare: 0,
  };
  const runsBefore = sum(run.targets, ({ runs }) => runs);
  for (const arrival of arrivals) {
    run.cluster.timer.after(arrival.atMs, () => void makeCall(run, arrival, result));
  }
  await run.cluster.timer.advance(TRACE_MS + COMPLETION_MS);
  result.retries = sum(run.targets, ({ runs }) => runs) - runsBefore - arrivals.length;
  result.coldOverloads = sum(run.targets, (target) => target.coldOverloads);
  result.probeShare =
    sum(run.targets, ({ probes }) => probes * 6) / (TARGET_COUNT * SLOTS_PER_TARGET * TRACE_MS);
  return result;
}

interface TraceRun {
  cluster: InProcessCluster;
  targets: ModelledTarget[];
  configuration: ConfigurationDocument;
  startMs: number;
}

async function startRun(scenario: Scenario, policy: Policy): Promise<TraceRun> {
  const configuration = makeConfiguration(policy);
  const targets: ModelledTarget[] = [];
  const run: Partial<TraceRun> = { targets, configuration, startMs: Infinity };
  const cluster = await InProcessCluster.start({
    configuration,
    instances: DOMAINS.map((failureDomain) => ({ pool: 'boards', failureDomain })),
    delayMs: getDelayMs,
    logCapacity: 1,
    settings: { decisions: { ...makeDecisions(policy), journalLength: 1 } },
    makeTargetPort: (name, timer) => {
      const number = targets.length;
      const target = new ModelledTarget({
        name,
        timer,
        getSlowdown: () => getCurrentSlowdown(scenario, number, run),
      });
      targets.push(target);
      return target;
    },
  });
  run.cluster = cluster;
  return run as TraceRun;
}

function getCurrentSlowdown(scenario: Scenario, target: number, run: Partial<TraceRun>): number {
  const traceMs = (run.cluster?.timer.now() ?? 0) - (run.startMs ?? Infinity);
  return traceMs < 0 ? 1 : getSlowdownAt(scenario, target, traceMs);
}

function makeConfiguration({ retryPercent, hedge }: Policy): ConfigurationDocument {
  return configurationSchema.parse({
    version: 1,
    failureDomains: DOMAINS.map((name) => ({ name, region: getRegion(name) })),
    workspaces: [{ name: 'plata' }],
    pools: [{ name: 'boards', slots: SLOTS_PER_TARGET, retryPercent }],
    routes: [
      {
        name: 'read-board',
        workspace: 'plata',
        methods: ['GET'],
        path: '/boards',
        pool: 'boards',
        idempotent: true,
        timeoutMs: TIMEOUT_MS,
        hedge,
      },
    ],
  });
}

function makeDecisions({ picker, limit }: Policy) {
  const { decisions } = settingsSchema.shape;
  return decisions.parse({ picker, limit });
}

/** Makes calls before the trace begins, so that the targets' limits rise from their cold value. */
async function warmUp({ cluster }: TraceRun): Promise<void> {
  for (let call = 0; call < WARM_UP_CALLS; call += 1) {
    const headers = [[SERVICE_HEADER, '5']] as const;
    void cluster.call(getInstanceId(call % TARGET_COUNT), { pathAndQuery: '/boards/1', headers });
    await cluster.timer.advance(WARM_UP_MS / WARM_UP_CALLS);
  }
  await cluster.timer.advance(WARM_UP_MS);
}

function scheduleEvents(scenario: Scenario, { cluster, targets, configuration }: TraceRun): void {
  const [startMs, endMs] = EVENT_WINDOW_MS;
  const schedule = (atMs: number, change: () => void) => cluster.timer.after(atMs, change);
  const [first] = targets;
  if (scenario === Scenario.FailFast && first) {
    schedule(startMs, () => {
      first.failsFast = true;
    });
    schedule(endMs, () => {
      first.failsFast = false;
    });
  }
  if (scenario === Scenario.ColdStart) schedule(startMs, () => first?.restart(COLD_DURATION_MS));
  if (scenario === Scenario.DomainOut) {
    schedule(startMs, () => {
      cluster.platform.publish(withDomainState(configuration, 2, DomainState.OutOfService));
    });
    schedule(endMs, () => {
      cluster.platform.publish(withDomainState(configuration, 3, DomainState.InService));
    });
  }
  if (scenario === Scenario.RegionCut) {
    schedule(startMs, () => {
      setRegionPaths(cluster, NetworkPathState.Cut);
    });
    schedule(endMs, () => {
      setRegionPaths(cluster, NetworkPathState.Up);
    });
  }
}

function withDomainState(
  configuration: ConfigurationDocument,
  version: number,
  state: DomainState,
): ConfigurationDocument {
  const failureDomains = configuration.failureDomains.map((domain, index) =>
    index === 0 ? { ...domain, state } : domain,
  );
  return { ...configuration, version, failureDomains };
}

function setRegionPaths(cluster: InProcessCluster, state: NetworkPathState): void {
  const addresses = cluster.members.map(({ instance }) => instance.peerAddress);
  for (const inside of addresses.filter((each) => each.includes('centro'))) {
    for (const outside of addresses.filter((each) => !each.includes('centro'))) {
      cluster.network.setPathState(inside, outside, state);
    }
  }
}

async function makeCall(
  { cluster }: TraceRun,
  arrival: CallArrival,
  result: TraceResult,
): Promise<void> {
  const startMs = cluster.timer.now();
  const headers = [[SERVICE_HEADER, String(arrival.serviceMs)]] as const;
  const callResult = await cluster.call(getInstanceId(arrival.entryIndex), {
    pathAndQuery: '/boards/1',
    headers,
  });
  const elapsedMs = cluster.timer.now() - startMs;
  const isSuccessful = callResult.outcome === Outcome.Answered && callResult.status === 200;
  result.latenciesMs.push(isSuccessful ? elapsedMs : Infinity);
  if (isSuccessful && elapsedMs <= IN_TIME_LIMIT_MS) result.answeredInTime += 1;
  if (isSuccessful && elapsedMs - arrival.serviceMs >= 2 * OTHER_REGION_MS) result.crossRegion += 1;
}

function getInstanceId(index: number): string {
  return `boards-${DOMAINS[index] ?? ''}`;
}

function getRegion(domain: string): string {
  return domain.split('-')[0] ?? '';
}

function getDelayMs(from: string, to: string): number {
  if (from === to) return LOOPBACK_MS;
  return getRegion(from) === getRegion(to) ? SAME_REGION_MS : OTHER_REGION_MS;
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
