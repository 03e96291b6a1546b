import { ok, err, type Result } from 'neverthrow';
import t from 'tap';
import { BufferedBody } from '../contract/mod.ts';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';
import {
  HEALTHY_REPORT,
  NO_STATEMENT,
  TargetFailureKind,
  type ProbeReport,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
  type TargetRequest,
  type TargetStatement,
} from '../guard/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

const INSTANCES = ['results-centro-a', 'results-centro-b', 'results-norte-a'];
const [REUSED = ''] = INSTANCES;
/** Shortest time until the platform gives an address to another target, in milliseconds. */
const ADDRESS_REUSE_MS = 2_000;
const CALL_INTERVAL_MS = 20;
const SERVICE_MS = 10;
const OBSERVED_MS = 4_000;

/** A process that listens at the address of a target. */
interface AddressProcess {
  id: string;
  pool: string;
  statement: TargetStatement;
}

function makeProcess(id: string, pool = 'results', isLeaving = false): AddressProcess {
  return { id, pool, statement: { ...NO_STATEMENT, isLeaving } };
}

/** The address of a target, at which processes of several pools listen one after the other. */
class ReusedAddress implements TargetPort {
  readonly #timer: TimerService;
  /** Whether answers to calls name the process. */
  namesProcess = true;
  process: AddressProcess | undefined;
  /** Executions so far, by pool. */
  readonly runsAtMs: Record<string, number[]> = { boards: [], results: [] };

  constructor(timer: TimerService, id: string) {
    this.#timer = timer;
    this.process = makeProcess(id);
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    const { process } = this;
    if (!process) return err({ kind: TargetFailureKind.NotSent, detail: 'refused' });
    const isOther = req.targetId !== undefined && req.targetId !== process.id;
    if (!isOther) this.runsAtMs[process.pool]?.push(this.#timer.now());
    await sleep(this.#timer, isOther ? 1 : SERVICE_MS);
    if (this.process !== process)
      return err({ kind: TargetFailureKind.ConnectionLost, detail: 'reset' });
    return ok({
      status: isOther ? 421 : 200,
      headers: [],
      body: new BufferedBody(Buffer.from(process.id)),
      load: undefined,
      targetId: this.namesProcess ? process.id : undefined,
      shed: isOther,
      reported: undefined,
      statement: process.statement,
    });
  }

  async probe(): Promise<ProbeReport | undefined> {
    const { process } = this;
    await sleep(this.#timer, 1);
    return process && { ...HEALTHY_REPORT, targetId: process.id, statement: process.statement };
  }
}

/** A cluster under constant load, whose instance list changes only when a case says so. */
class ReuseCase {
  readonly cluster: InProcessCluster;
  readonly address: ReusedAddress;

  private constructor(cluster: InProcessCluster, address: ReusedAddress) {
    this.cluster = cluster;
    this.address = address;
  }

  static async start(): Promise<ReuseCase> {
    const addresses = new Map<string, ReusedAddress>();
    const cluster = await InProcessCluster.start({
      configuration: makeExampleConfiguration(),
      instances: [...INSTANCES, 'boards-centro-b'].map((id) => {
        const [pool = '', ...domain] = id.split('-');
        return { id, pool, failureDomain: domain.join('-') };
      }),
      settings: { target: { ...TARGET_SETTINGS }, lameDuckMs: 2_500 },
      addressReuseMs: ADDRESS_REUSE_MS,
      makeTargetPort: (id, timer) => {
        const address = addresses.get(id) ?? new ReusedAddress(timer, `${id}/1`);
        addresses.set(id, address);
        return address;
      },
    });
    const address = addresses.get(REUSED);
    if (!address) throw new Error(`expected an address for ${REUSED}`);
    const reuse = new ReuseCase(cluster, address);
    for (const { instance } of cluster.members) instance.targetId = `${instance.id}/1`;
    cluster.publishInstances();
    await reuse.run(500);
    return reuse;
  }

  /** Sends calls at the daemon of the address and at another one for some time. */
  async run(durationMs: number): Promise<void> {
    const { cluster } = this;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CALL_INTERVAL_MS) {
      for (const id of [REUSED, INSTANCES[2] ?? ''])
        void cluster.call(id, { method: 'POST', pathAndQuery: '/entries/1', deadlineMs: 400 });
      await cluster.timer.advance(CALL_INTERVAL_MS);
    }
  }

  /** Ends the process at the address, which is silent for some time. */
  async endProcess(silenceMs: number): Promise<void> {
    this.address.process = undefined;
    await this.run(silenceMs);
  }

  /** Lists the address with a target. */
  list(targetId: string, pool = 'results'): void {
    Object.assign(this.cluster.member(REUSED).instance, { targetId, pool });
    this.cluster.publishInstances();
  }

  /** Describes what has run at the address since a time. */
  describeRuns(sinceMs: number): string {
    const { boards = [], results = [] } = this.address.runsAtMs;
    const [firstAtMs] = results.filter((atMs) => atMs >= sinceMs);
    const delayMs = (firstAtMs ?? Infinity) - sinceMs;
    const withinMs = Math.ceil(delayMs / 500) * 500;
    const served = delayMs === Infinity ? 'not served' : `served within ${withinMs} ms`;
    return `its own pool's calls: ${served}, run by another pool: ${boards.length}`;
  }

  /** Keeps up the load, and describes what has run at the address meanwhile. */
  async observe(): Promise<string> {
    const sinceMs = this.cluster.timer.now();
    await this.run(OBSERVED_MS);
    return this.describeRuns(sinceMs);
  }
}

const TARGET_SETTINGS = {
  url: 'http://localhost',
  healthPath: '/health',
  connections: 64,
  probePeriodMs: 1_000,
};

void t.test("no call runs at another pool's target that has got the address", async (t) => {
  const seen: string[] = [];
  for (const namesProcess of [true, false]) {
    for (const silenceMs of [2_100, 5_000]) {
      const reuse = await ReuseCase.start();
      reuse.address.namesProcess = namesProcess;
      await reuse.endProcess(silenceMs);
      reuse.address.process = makeProcess('boards/2', 'boards');
      const unlisted = await reuse.observe();
      reuse.list('boards/2', 'boards');
      seen.push(
        `after ${silenceMs} ms, ${namesProcess ? 'named in answers' : 'named in probes only'}: ` +
          `${unlisted}; once listed: ${await reuse.observe()}`,
      );
    }
  }
  const idle = await ReuseCase.start();
  idle.address.process = undefined;
  await idle.cluster.timer.advance(ADDRESS_REUSE_MS);
  idle.address.process = makeProcess('boards/2', 'boards');
  seen.push(`without calls meanwhile: ${await idle.observe()}`);
  t.matchSnapshot(seen, 'runs');
});

void t.test("a stopping daemon sends no call to another pool's target", async (t) => {
  const reuse = await ReuseCase.start();
  const { daemon } = reuse.cluster.member(REUSED);
  await reuse.endProcess(1_000);
  void daemon.drain();
  await reuse.run(1_100);
  reuse.address.process = makeProcess('boards/2', 'boards');
  t.matchSnapshot(await reuse.observe(), 'runs');
});

void t.test("a daemon that starts beside another pool's target sends it no call", async (t) => {
  const seen: string[] = [];
  for (const isListed of [true, false]) {
    const reuse = await ReuseCase.start();
    if (!isListed) reuse.list('', 'boards');
    await reuse.endProcess(2_100);
    reuse.address.process = makeProcess('boards/2', 'boards');
    reuse.cluster.restartDaemon(REUSED);
    const list = isListed ? 'the ended target' : 'another pool';
    seen.push(`its address listed for ${list}: ${await reuse.observe()}`);
  }
  t.matchSnapshot(seen, 'runs');
});

void t.test('a target that restarts is served again', async (t) => {
  const seen: string[] = [];
  for (const silenceMs of [300, 900, 3_000, 8_000]) {
    const reuse = await ReuseCase.start();
    await reuse.endProcess(silenceMs);
    reuse.address.process = makeProcess('results/2');
    const unlisted = await reuse.observe();
    reuse.list('results/2');
    seen.push(`after ${silenceMs} ms: ${unlisted}; once listed: ${await reuse.observe()}`);
  }
  const same = await ReuseCase.start();
  const { process } = same.address;
  await same.endProcess(3_000);
  same.address.process = process;
  seen.push(`after 3000 ms under its former ID: ${await same.observe()}`);
  t.matchSnapshot(seen, 'runs');
});

void t.test('a daemon that starts beside its running target serves it', async (t) => {
  const reuse = await ReuseCase.start();
  reuse.cluster.restartDaemon(REUSED);
  const listed = await reuse.observe();
  await reuse.endProcess(100);
  reuse.address.process = makeProcess('results/2');
  reuse.cluster.restartDaemon(REUSED);
  const unlisted = await reuse.observe();
  reuse.list('results/2');
  t.matchSnapshot(
    [
      `listed: ${listed}`,
      `restarted too, not listed: ${unlisted}`,
      `once listed: ${await reuse.observe()}`,
    ],
    'runs',
  );
});

void t.test("another target's statements are not taken for the target's", async (t) => {
  const reuse = await ReuseCase.start();
  await reuse.endProcess(2_100);
  reuse.address.process = makeProcess('boards/2', 'boards', true);
  await reuse.run(1_500);
  await reuse.endProcess(500);
  reuse.address.process = makeProcess('results/2');
  reuse.list('results/2');
  t.matchSnapshot(await reuse.observe(), 'runs');
  const { log } = reuse.cluster.member(REUSED);
  t.notMatch(log.lines().join('\n'), /leaving=true/, 'no notice of leaving');
});
