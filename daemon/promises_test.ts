import t from 'tap';
import {
  CrashStep,
  EXAMPLE_DOMAINS,
  POISON_HEADER,
  PlatformState,
  InProcessCluster,
  makeExampleConfiguration,
  type ClusterCall,
  type ClusterCallResult,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';

const instances = ['boards', 'results'].flatMap((pool) =>
  EXAMPLE_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
);

const resultCall: ClusterCall = {
  method: 'POST',
  pathAndQuery: '/results',
  body: '1-0',
  runId: 'result',
};

function startCluster(): Promise<InProcessCluster> {
  return InProcessCluster.start({ configuration: makeExampleConfiguration(), instances });
}

async function issueKey(
  cluster: InProcessCluster,
  id: string,
  call: ClusterCall = resultCall,
): Promise<string> {
  const { nextKey } = await cluster.callToCompletion(id, call);
  return nextKey ?? 'none';
}

function describe({ outcome, text, nextKey }: ClusterCallResult): string {
  return `${outcome}: ${text}${nextKey === undefined ? '' : ' (next key)'}`;
}

function formatRuns(cluster: InProcessCluster, runId = 'result'): string {
  return `runs=${cluster.runs.get(runId) ?? 0}`;
}

void t.test('daemon.serve() answers or refuses calls to idempotent routes', async (t) => {
  const cluster = await startCluster();
  const calls: Record<string, ClusterCall> = {
    'a known route': { pathAndQuery: '/boards/3?round=2' },
    'an unknown route': { pathAndQuery: '/clocks' },
    'an unknown method': { pathAndQuery: '/boards', method: 'DELETE' },
    'an unknown workspace': { pathAndQuery: '/boards', workspace: 'plato' },
    'a deadline that has passed': { pathAndQuery: '/boards', deadlineMs: 0 },
    'a deadline below the service time': { pathAndQuery: '/boards', deadlineMs: 3 },
  };
  for (const [name, call] of Object.entries(calls)) {
    t.matchSnapshot(describe(await cluster.callToCompletion('boards-centro-a', call)), name);
  }
});

void t.test('daemon.serve() runs a non-idempotent call once under its key', async (t) => {
  const cluster = await startCluster();
  const seen: string[] = [];
  const send = async (id: string, call: ClusterCall) => {
    seen.push(`${id} ${describe(await cluster.callToCompletion(id, call))} ${formatRuns(cluster)}`);
  };
  await send('boards-centro-a', resultCall);
  const key = await issueKey(cluster, 'boards-centro-a');
  await send('boards-centro-a', { ...resultCall, key });
  await send('boards-centro-a', { ...resultCall, key });
  await send('results-norte-b', { ...resultCall, key });
  await send('boards-centro-a', { ...resultCall, key, body: '0-1' });
  await send('boards-norte-a', { ...resultCall, key, workspace: 'norte-club' });
  await send('boards-centro-a', { ...resultCall, key: `${key.slice(0, -2)}xx` });
  await send('boards-centro-a', { ...resultCall, key: 'chosen-by-the-caller' });
  t.matchSnapshot(seen, 'sends');
});

void t.test('daemon.serve() joins a resend to the running call', async (t) => {
  const cluster = await startCluster();
  const key = await issueKey(cluster, 'boards-centro-a');
  const first = cluster.call('boards-centro-a', { ...resultCall, key });
  await cluster.timer.advance(2);
  const second = cluster.call('boards-norte-a', { ...resultCall, key });
  const results = await cluster.advanceUntil(Promise.all([first, second]));
  t.matchSnapshot([...results.map(describe), formatRuns(cluster)], 'both results');
});

void t.test('daemon.serve() reports a correct outcome when the executor crashes', async (t) => {
  for (const step of Object.values(CrashStep)) {
    const cluster = await startCluster();
    const key = await issueKey(cluster, 'boards-centro-a');
    for (const { target } of cluster.members) target.nextCrashStep = step;
    const result = await cluster.callToCompletion('boards-centro-a', { ...resultCall, key });
    const again = await cluster.callToCompletion('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot([describe(result), describe(again), formatRuns(cluster)], step);
  }
});

void t.test('daemon.serve() settles a call whose link broke', async (t) => {
  for (const brokenAt of [FrameKind.Call, FrameKind.Answer]) {
    const cluster = await startCluster();
    const key = await issueKey(cluster, 'boards-centro-a');
    let isArmed = true;
    cluster.network.filter = ({ frame }) => {
      if (!isArmed || frame.kind !== brokenAt) return [{ frame, delayMs: 0 }];
      isArmed = false;
      for (const { instance } of cluster.members)
        cluster.network.breakConnections(instance.peerAddress);
      return [];
    };
    const result = await cluster.callToCompletion('boards-centro-a', { ...resultCall, key });
    t.matchSnapshot([describe(result), formatRuns(cluster)], `lost ${FrameKind[brokenAt]}`);
  }
});

void t.test('daemon.serve() fences a call that arrives late', async (t) => {
  const cluster = await startCluster();
  const key = await issueKey(cluster, 'boards-centro-a');
  let isArmed = true;
  cluster.network.filter = ({ frame }) => {
    if (!isArmed || frame.kind !== FrameKind.Call) return [{ frame, delayMs: 0 }];
    isArmed = false;
    return [
      { frame, delayMs: 0 },
      { frame: { ...frame, stream: frame.stream + 100 }, delayMs: 700 },
    ];
  };
  const result = await cluster.callToCompletion('boards-centro-a', { ...resultCall, key });
  await cluster.timer.advance(2_000);
  t.matchSnapshot([describe(result), formatRuns(cluster)], 'a call delivered twice');
});

void t.test(
  'daemon.serve() never runs a call again after its key owner has restarted',
  async (t) => {
    const cluster = await startCluster();
    const key = await issueKey(cluster, 'boards-centro-a');
    const spare = await issueKey(cluster, 'boards-centro-a');
    const first = await cluster.callToCompletion('boards-centro-a', { ...resultCall, key });
    cluster.restartDaemon('boards-centro-a');
    await cluster.timer.advance(1_000);
    const resend = await cluster.callToCompletion('boards-norte-a', { ...resultCall, key });
    const unused = await cluster.callToCompletion('boards-centro-a', { ...resultCall, key: spare });
    t.matchSnapshot([first, resend, unused].map(describe).concat(formatRuns(cluster)), 'results');
  },
);

void t.test('daemon.drain() hands keys over to a successor', async (t) => {
  const cluster = await startCluster();
  const key = await issueKey(cluster, 'boards-centro-a');
  const spare = await issueKey(cluster, 'boards-centro-a');
  const open = cluster.call('boards-centro-a', { ...resultCall, key });
  await cluster.timer.advance(1);
  const drained = await cluster.advanceUntil(cluster.member('boards-centro-a').daemon.drain());
  cluster.stopDaemon('boards-centro-a');
  const resend = await cluster.callToCompletion('boards-norte-a', { ...resultCall, key });
  const unused = { ...resultCall, key: spare, runId: 'second', body: '0-1' };
  const late = await cluster.callToCompletion('results-centro-b', unused);
  const results = [await open, resend, late].map(describe);
  t.matchSnapshot([...results, formatRuns(cluster), formatRuns(cluster, 'second')], 'results');
  t.match(drained, { accepted: 1, lost: 0 });
});

void t.test(
  'daemon.serve() runs a call of a restricted route in its home regions only',
  async (t) => {
    const cluster = await startCluster();
    const restrictedCall = { ...resultCall, workspace: 'norte-club' };
    const away = await cluster.callToCompletion('boards-centro-a', restrictedCall);
    const key = await issueKey(cluster, 'boards-norte-a', restrictedCall);
    const home = await cluster.callToCompletion('boards-norte-a', { ...restrictedCall, key });
    const awayWithKey = await cluster.callToCompletion('boards-centro-a', {
      ...restrictedCall,
      key,
    });
    const ranIn = cluster.members
      .filter(({ target }) => target.runs > 0)
      .map(({ instance }) => instance.id);
    t.matchSnapshot(
      [away, home, awayWithKey].map(describe).concat(formatRuns(cluster), ranIn),
      'results',
    );
  },
);

void t.test('guard refuses attempts in a failure domain that is out of service', async (t) => {
  const cluster = await startCluster();
  const out = EXAMPLE_DOMAINS.filter((name) => name !== 'norte-b');
  cluster.platform.publish(makeExampleConfiguration({ version: 2, outDomains: out }));
  await cluster.timer.advance(2_000);
  const before = cluster.members.map(({ target }) => target.runs);
  const results = [];
  for (const { instance } of cluster.members) {
    results.push(
      describe(await cluster.callToCompletion(instance.id, { pathAndQuery: '/boards/1' })),
    );
  }
  const ranIn = cluster.members
    .filter(({ target }, index) => target.runs > (before[index] ?? 0))
    .map(({ instance }) => instance.id);
  t.matchSnapshot([...new Set(results), ...ranIn], 'all but norte-b out of service');
  cluster.platform.publish(makeExampleConfiguration({ version: 3 }));
  await cluster.timer.advance(2_000);
  const back = await cluster.callToCompletion('boards-centro-a', { pathAndQuery: '/boards/1' });
  t.matchSnapshot(describe(back), 'back in service');
});

void t.test('configuration never reverts and is distributed without the platform', async (t) => {
  const cluster = await startCluster();
  const versions = () =>
    [...new Set(cluster.members.map(({ daemon }) => daemon.status.configurationVersion))].join(',');
  const seen: string[] = [];
  const step = async (name: string, act: () => void) => {
    act();
    await cluster.timer.advance(8_000);
    seen.push(`${name}: versions ${versions()}`);
  };
  await step('published', () => {
    cluster.platform.publish(makeExampleConfiguration({ version: 2 }));
  });
  await step('service down, one daemon restarted', () => {
    cluster.platform.setState(PlatformState.Down);
    cluster.restartDaemon('boards-centro-a');
  });
  await step('service back with an old version', () => {
    cluster.platform.setState(PlatformState.Up);
    cluster.platform.publish(makeExampleConfiguration({ version: 1 }));
  });
  await step('one daemon restarted while the service is stale', () => {
    cluster.restartDaemon('results-norte-a');
  });
  await step('a version with findings', () => {
    const broken = makeExampleConfiguration({ version: 3 });
    cluster.platform.publish({ ...broken, pools: [] });
  });
  const { rejected } = cluster.member('boards-centro-b').daemon.status;
  t.matchSnapshot([...seen, ...(rejected?.findings ?? ['none'])], 'versions in force');
});

void t.test('daemon discards outdated state after a pause', async (t) => {
  const cluster = await startCluster();
  const key = await issueKey(cluster, 'boards-centro-a');
  const { clock } = cluster.member('boards-centro-a');
  clock.pause();
  await cluster.timer.advance(20_000);
  clock.resume();
  const atResume = await cluster.call('boards-centro-a', { ...resultCall, key });
  await cluster.timer.advance(3_000);
  const later = await cluster.callToCompletion('boards-centro-a', { ...resultCall, key });
  t.matchSnapshot([describe(atResume), describe(later), formatRuns(cluster)], 'results');
});

void t.test('quarantine blocks a call that crashes each target', async (t) => {
  const cluster = await startCluster();
  const poison: ClusterCall = {
    pathAndQuery: '/halls/9',
    headers: [[POISON_HEADER, CrashStep.DuringRun]],
  };
  const seen: string[] = [];
  for (let round = 0; round < 3; round += 1) {
    seen.push(describe(await cluster.callToCompletion('results-centro-a', poison)));
    seen.push(
      `innocent ${describe(await cluster.callToCompletion('results-centro-a', { pathAndQuery: '/halls/1' }))}`,
    );
    await cluster.timer.advance(2_000);
  }
  const starts = cluster.members.map(({ target }) => target.starts - 1);
  seen.push(`crashes=${starts.reduce((sum, each) => sum + each, 0)}`);
  await cluster.timer.advance(90_000);
  seen.push(
    `later ${describe(await cluster.callToCompletion('results-centro-a', { pathAndQuery: '/halls/9' }))}`,
  );
  t.matchSnapshot(seen, 'rounds');
});

void t.test(
  'a key that was handed over is found while its issuer starts without a configuration',
  async (t) => {
    const cluster = await startCluster();
    const key = await issueKey(cluster, 'boards-centro-a');
    await cluster.callToCompletion('boards-centro-a', { ...resultCall, key });
    await cluster.advanceUntil(cluster.member('boards-centro-a').daemon.drain());
    cluster.stopDaemon('boards-centro-a');
    const before = await cluster.callToCompletion('boards-norte-a', { ...resultCall, key });
    cluster.platform.setState(PlatformState.Down);
    cluster.restartDaemon('boards-centro-a');
    await cluster.timer.advance(200);
    const resend = await cluster.callToCompletion('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot([before, resend].map(describe).concat(formatRuns(cluster)), 'results');
  },
);

void t.test(
  'an issued key is not refused as invalid after its route was restricted to home regions',
  async (t) => {
    const cluster = await startCluster();
    const key = await issueKey(cluster, 'boards-centro-a');
    const example = makeExampleConfiguration({ version: 2 });
    const workspaces = example.workspaces.map((each) => ({ ...each, homeRegions: ['ar-norte'] }));
    cluster.platform.publish({ ...example, workspaces });
    await cluster.timer.advance(500);
    const resend = await cluster.callToCompletion('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot(describe(resend), 'result');
  },
);
