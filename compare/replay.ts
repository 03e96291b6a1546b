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
  type Arrival,
} from './scenario.ts';

/** Six failure domains, two in each of three regions. */
const DOMAINS = ['centro-a', 'centro-b', 'norte-a', 'norte-b', 'sur-a', 'sur-b'];
const SAME_REGION_MS = 1.5;
const OTHER_REGION_MS = 30;
const LOOPBACK_MS = 0.05;
const TIMEOUT_MS = 1_000;
const COLD_MS = 1_000;
const TAIL_MS = 2_000;
const WARM_UP_CALLS = 240;
const WARM_UP_MS = 2_000;

/** What one policy made of one trace. */
export interface TraceResult {
  latenciesMs: number[];
  answeredInTime: number;
  calls: number;
  retries: number;
  /** Calls executed outside their entry's region. */
  crossRegion: number;
  coldOverloads: number;
  /** Share of the targets' time that probes took. */
  probeShare: number;
}

/**
 * Plays a trace on real daemons in virtual time.
 *
 * @param scenario The scenario.
 * @param policy How the daemons decide.
 * @param arrivals The trace.
 * @returns What came of it.
 */
export async function replayTrace(
  scenario: Scenario,
  policy: Policy,
  arrivals: readonly Arrival[],
): Promise<TraceResult> {
  const run = await start(scenario, policy);
  await warmUp(run);
  run.startMs = run.world.timer.now();
  scheduleEvents(scenario, run);
  const played: TraceResult = {
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
    run.world.timer.after(arrival.atMs, () => void makeCall(run, arrival, played));
  }
  await run.world.timer.advance(TRACE_MS + TAIL_MS);
  played.retries = sum(run.targets, ({ runs }) => runs) - runsBefore - arrivals.length;
  played.coldOverloads = sum(run.targets, (target) => target.coldOverloads);
  played.probeShare =
    sum(run.targets, ({ probes }) => probes * 6) / (TARGET_COUNT * SLOTS_PER_TARGET * TRACE_MS);
  return played;
}

interface Run {
  world: InProcessCluster;
  targets: ModelledTarget[];
  configuration: ConfigurationDocument;
  startMs: number;
}

async function start(scenario: Scenario, policy: Policy): Promise<Run> {
  const configuration = configurationFor(policy);
  const targets: ModelledTarget[] = [];
  const run: Partial<Run> = { targets, configuration, startMs: Infinity };
  const world = await InProcessCluster.start({
    configuration,
    instances: DOMAINS.map((failureDomain) => ({ pool: 'boards', failureDomain })),
    delayMs: delayBetween,
    logCapacity: 1,
    settings: { decisions: { ...decisionsOf(policy), journalLength: 1 } },
    makeTargetPort: (name, timer) => {
      const number = targets.length;
      const target = new ModelledTarget({
        name,
        timer,
        getSlowdown: () => slownessNow(scenario, number, run),
      });
      targets.push(target);
      return target;
    },
  });
  run.world = world;
  return run as Run;
}

function slownessNow(scenario: Scenario, target: number, run: Partial<Run>): number {
  const sinceMs = (run.world?.timer.now() ?? 0) - (run.startMs ?? Infinity);
  return sinceMs < 0 ? 1 : getSlowdownAt(scenario, target, sinceMs);
}

function configurationFor({ retryPercent, hedge }: Policy): ConfigurationDocument {
  return configurationSchema.parse({
    version: 1,
    failureDomains: DOMAINS.map((name) => ({ name, region: regionOf(name) })),
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

function decisionsOf({ picker, limit }: Policy) {
  const { decisions } = settingsSchema.shape;
  return decisions.parse({ picker, limit });
}

/** Raises the targets from their cold limit before the trace begins. */
async function warmUp({ world }: Run): Promise<void> {
  for (let call = 0; call < WARM_UP_CALLS; call += 1) {
    const headers = [[SERVICE_HEADER, '5']] as const;
    void world.call(idOf(call % TARGET_COUNT), { pathAndQuery: '/boards/1', headers });
    await world.timer.advance(WARM_UP_MS / WARM_UP_CALLS);
  }
  await world.timer.advance(WARM_UP_MS);
}

function scheduleEvents(scenario: Scenario, { world, targets, configuration }: Run): void {
  const [startMs, endMs] = EVENT_WINDOW_MS;
  const at = (atMs: number, act: () => void) => world.timer.after(atMs, act);
  const [first] = targets;
  if (scenario === Scenario.FailFast && first) {
    at(startMs, () => {
      first.failsFast = true;
    });
    at(endMs, () => {
      first.failsFast = false;
    });
  }
  if (scenario === Scenario.ColdStart) at(startMs, () => first?.restart(COLD_MS));
  if (scenario === Scenario.DomainOut) {
    at(startMs, () => {
      world.platform.publish(withDomain(configuration, 2, DomainState.OutOfService));
    });
    at(endMs, () => {
      world.platform.publish(withDomain(configuration, 3, DomainState.InService));
    });
  }
  if (scenario === Scenario.RegionCut) {
    at(startMs, () => {
      setRegionWays(world, NetworkPathState.Cut);
    });
    at(endMs, () => {
      setRegionWays(world, NetworkPathState.Up);
    });
  }
}

function withDomain(
  configuration: ConfigurationDocument,
  version: number,
  state: DomainState,
): ConfigurationDocument {
  const failureDomains = configuration.failureDomains.map((domain, index) =>
    index === 0 ? { ...domain, state } : domain,
  );
  return { ...configuration, version, failureDomains };
}

function setRegionWays(world: InProcessCluster, state: NetworkPathState): void {
  const addresses = world.members.map(({ instance }) => instance.peerAddress);
  for (const left of addresses.filter((each) => each.includes('centro'))) {
    for (const right of addresses.filter((each) => !each.includes('centro'))) {
      world.network.setPathState(left, right, state);
    }
  }
}

async function makeCall({ world }: Run, arrival: Arrival, played: TraceResult): Promise<void> {
  const startMs = world.timer.now();
  const headers = [[SERVICE_HEADER, String(arrival.serviceMs)]] as const;
  const result = await world.call(idOf(arrival.entryIndex), { pathAndQuery: '/boards/1', headers });
  const elapsedMs = world.timer.now() - startMs;
  const isGood = result.outcome === Outcome.Answered && result.status === 200;
  played.latenciesMs.push(isGood ? elapsedMs : Infinity);
  if (isGood && elapsedMs <= IN_TIME_LIMIT_MS) played.answeredInTime += 1;
  if (isGood && elapsedMs - arrival.serviceMs >= 2 * OTHER_REGION_MS) played.crossRegion += 1;
}

function idOf(index: number): string {
  return `boards-${DOMAINS[index] ?? ''}`;
}

function regionOf(domain: string): string {
  return domain.split('-')[0] ?? '';
}

function delayBetween(from: string, to: string): number {
  if (from === to) return LOOPBACK_MS;
  return regionOf(from) === regionOf(to) ? SAME_REGION_MS : OTHER_REGION_MS;
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
