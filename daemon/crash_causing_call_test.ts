import t from 'tap';
import type { ConfigurationDocument } from '../configuration/mod.ts';
import { configurationSchema } from '../configuration/mod.ts';
import { RefusalReason } from '../contract/mod.ts';
import {
  CrashStep,
  InProcessCluster,
  POISON_HEADER,
  type InProcessClusterOptions,
} from '../fakes/mod.ts';
import { toConfigurationDocument } from '../platform/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { CONFIGURATION_KEY, PLATFORM_HOST, makeConfigurationValue } from '../stand_in/mod.ts';

const REGIONS = {
  'centro-a': 'ar-centro',
  'centro-b': 'ar-centro',
  'norte-a': 'ar-norte',
  'norte-b': 'ar-norte',
  'sur-a': 'ar-sur',
  'sur-b': 'ar-sur',
};
/** Time from a crash of a target to its return, in milliseconds. */
const RESTART_MS = 3_000;
const STEP_MS = 50;
const STEPS = 600;
/** Steps between two calls that crash their target. */
const POISON_STEPS = 6;
/** Number of crashes after which the call must no longer be sent. */
const MAX_CRASHES = 3;
/** Time after the last permitted crash within which all daemons know of it, in milliseconds. */
const STABLE_WINDOW_MS = 4_000;
const MAX_LATER_RUNS = 3;

/** The pool whose targets crash. */
const POOL = 'boards';
const POPULAR_PATH = `/${POOL}/popular`;
const LONG_BODY_BYTES = 100_000;

const POPULAR_SERVICE_MS = 100;
const POPULAR_STEPS = 200;
/** Step at which the targets of four of the six failure domains end. */
const END_STEP = 40;
/** Calls that arrive in one execution time; answers of those that are running lift a block. */
const MAX_BLOCKED_POPULAR = 24;

/** A call that crashes its targets, and the cluster at which it is made. */
interface PoisonCase {
  name: string;
  /** Pools of the entries at which it arrives; each daemon beside a target of another pool. */
  callerPools: readonly string[];
  daemonsPerDomainAndPool: number;
  pathAndQuery: string;
  /** Step of the call at which its target crashes. */
  step: CrashStep;
  body?: string;
  restartsDaemons?: boolean;
}

const CALM_CASE: PoisonCase = {
  name: 'a call that crashes its targets is soon sent to none',
  callerPools: ['results'],
  daemonsPerDomainAndPool: 2,
  pathAndQuery: `/${POOL}/crashing`,
  step: CrashStep.DuringRun,
};

const CASES: readonly PoisonCase[] = [
  CALM_CASE,
  { ...CALM_CASE, name: `${CALM_CASE.name}, while daemons restart`, restartsDaemons: true },
  {
    ...CALM_CASE,
    name: 'a call that crashes its targets is recognized at entries of every pool',
    callerPools: ['results', 'ratings', 'standings'],
    daemonsPerDomainAndPool: 1,
  },
  {
    ...CALM_CASE,
    name: 'an answer to another call with its fingerprint does not clear a call that crashes its targets',
    pathAndQuery: POPULAR_PATH,
  },
  {
    ...CALM_CASE,
    name: 'a call that crashes its targets under the body of the answer is recognized',
    step: CrashStep.DuringAnswer,
  },
  {
    ...CALM_CASE,
    name: 'a call with a long body that crashes its targets is recognized',
    body: 'r'.repeat(LONG_BODY_BYTES),
  },
];

/** Makes the configuration that a daemon takes from the users' platform. */
function makePlatformConfiguration(pools: readonly string[]): ConfigurationDocument {
  const routes = pools.map((pool) => ({
    name: `r-${pool}`,
    prefix: `/${pool}/`,
    pool,
    isSafe: true,
    homeRegions: [],
  }));
  const value = JSON.stringify(makeConfigurationValue(1, [...pools], routes));
  const items = [{ key: CONFIGURATION_KEY, value, revision: 1 }];
  const read = toConfigurationDocument(items, 1, { regions: REGIONS, retryPercent: 10 });
  return configurationSchema.parse(read._unsafeUnwrap()?.document);
}

async function startCluster(
  { callerPools, daemonsPerDomainAndPool }: PoisonCase,
  options: Pick<InProcessClusterOptions, 'onRun' | 'serviceMs'>,
): Promise<InProcessCluster> {
  const pools = [POOL, ...callerPools];
  const instances = Object.keys(REGIONS).flatMap((failureDomain) =>
    pools.flatMap((pool) =>
      Array.from({ length: daemonsPerDomainAndPool }, (_, index) => ({
        id: `${pool}-${failureDomain}-${index}`,
        pool,
        failureDomain,
      })),
    ),
  );
  const cluster = await InProcessCluster.start({
    configuration: makePlatformConfiguration(pools),
    instances,
    settings: { quarantine: { coincidences: MAX_CRASHES, blockMs: 60_000 } },
    ...options,
  });
  for (const { target } of cluster.members) target.restartMs = RESTART_MS;
  return cluster;
}

/** What a run of poisonous and harmless calls has shown. */
interface PoisonRun {
  crashes: number;
  /** Runs of the poisonous call later than the stable window after the last permitted crash. */
  laterRuns: number;
  /** Harmless calls with another fingerprint that were refused as if they crashed targets. */
  blockedHarmless: number;
  harmless: number;
  /** Harmless calls with the fingerprint of the poisonous call, and how many of them were refused. */
  alike: number;
  blockedAlike: number;
}

async function runPoison(poison: PoisonCase, seed: number): Promise<PoisonRun> {
  const random = new SeededRandom(seed);
  const seen: PoisonRun = {
    crashes: 0,
    laterRuns: 0,
    blockedHarmless: 0,
    harmless: 0,
    alike: 0,
    blockedAlike: 0,
  };
  let lastPermittedMs = Infinity;
  const onRun = (runId: string) => {
    if (runId !== 'poison') return;
    seen.crashes += 1;
    const nowMs = cluster.timer.now();
    if (seen.crashes === MAX_CRASHES) lastPermittedMs = nowMs;
    if (nowMs > lastPermittedMs + STABLE_WINDOW_MS) seen.laterRuns += 1;
  };
  const cluster = await startCluster(poison, { onRun });
  const { pathAndQuery, step: crashStep, body } = poison;
  const entries = cluster.members.filter(({ instance }) =>
    poison.callerPools.includes(instance.pool),
  );
  const pickEntry = () => entries[random.below(entries.length)]?.instance.id ?? '';
  const call = { workspace: PLATFORM_HOST, deadlineMs: 1_500 };
  const callHarmless = async (path: string, harmlessBody?: string) => {
    const made = { ...call, pathAndQuery: path, ...(harmlessBody && { body: harmlessBody }) };
    const { refusal } = await cluster.call(pickEntry(), made);
    const isBlocked = refusal?.reason === RefusalReason.Quarantined;
    const isAlike = path === pathAndQuery && harmlessBody?.length === body?.length;
    seen[isAlike ? 'alike' : 'harmless'] += 1;
    if (isBlocked) seen[isAlike ? 'blockedAlike' : 'blockedHarmless'] += 1;
  };
  for (let step = 0; step < STEPS; step += 1) {
    if (step % POISON_STEPS === 0) {
      const headers = [[POISON_HEADER, crashStep]] as const;
      const made = { ...call, pathAndQuery, headers, runId: 'poison', ...(body && { body }) };
      void cluster.call(pickEntry(), made);
      if (body !== undefined) {
        void callHarmless(pathAndQuery, `${body}longer`);
        void callHarmless(pathAndQuery, `${body.slice(0, -1)}x`);
      }
    }
    for (const path of [POPULAR_PATH, `/${POOL}/${step}`]) void callHarmless(path);
    if (poison.restartsDaemons && step % 40 === 20) {
      cluster.restartDaemon(
        cluster.members[random.below(cluster.members.length)]?.instance.id ?? '',
      );
    }
    await cluster.timer.advance(STEP_MS);
  }
  return seen;
}

for (const poison of CASES) {
  void t.test(poison.name, async (t) => {
    for (const seed of [1, 2]) {
      const seen = await runPoison(poison, seed);
      const { laterRuns, blockedHarmless } = seen;
      t.comment(`seed ${seed}: ${JSON.stringify(seen)}`);
      t.ok(laterRuns <= MAX_LATER_RUNS, `seed ${seed}: runs after the third crash are bounded`);
      t.equal(blockedHarmless, 0, `seed ${seed}: no harmless call is blocked`);
    }
  });
}

void t.test('targets that end together do not block a call that runs at all of them', async (t) => {
  const cluster = await startCluster(CALM_CASE, { serviceMs: () => POPULAR_SERVICE_MS });
  const entries = cluster.members.filter(({ instance }) => instance.pool !== POOL);
  const seen = { answered: 0, blocked: 0, other: 0 };
  const call = async (entryId: string) => {
    const made = { workspace: PLATFORM_HOST, deadlineMs: 1_500, pathAndQuery: POPULAR_PATH };
    const { refusal, status } = await cluster.call(entryId, made);
    if (status === 200) seen.answered += 1;
    else if (refusal?.reason === RefusalReason.Quarantined) seen.blocked += 1;
    else seen.other += 1;
  };
  for (let step = 0; step < POPULAR_STEPS; step += 1) {
    for (const { instance } of entries) void call(instance.id);
    if (step === END_STEP) {
      for (const { instance, target } of cluster.members)
        if (instance.pool === POOL && !instance.failureDomain.startsWith('sur')) target.crash();
    }
    await cluster.timer.advance(STEP_MS);
  }
  await cluster.timer.advance(POPULAR_SERVICE_MS);
  t.comment(JSON.stringify(seen));
  t.ok(seen.blocked <= MAX_BLOCKED_POPULAR, 'the call is blocked for an instant at most');
});
