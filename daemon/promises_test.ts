import t from 'tap';
import {
  CrashStep,
  EXAMPLE_DOMAINS,
  PlatformState,
  InProcessCluster,
  makeExampleConfiguration,
  type ClusterCall,
  type ClusterCallResult,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';

const placings = ['boards', 'results'].flatMap((pool) =>
  EXAMPLE_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
);

const resultCall: ClusterCall = {
  method: 'POST',
  pathAndQuery: '/results',
  body: '1-0',
  runId: 'result',
};

function startWorld(): Promise<InProcessCluster> {
  return InProcessCluster.start({ configuration: makeExampleConfiguration(), instances: placings });
}

async function issueKey(
  world: InProcessCluster,
  id: string,
  call: ClusterCall = resultCall,
): Promise<string> {
  const { nextKey } = await world.callToCompletion(id, call);
  return nextKey ?? 'none';
}

function describe({ outcome, text, nextKey }: ClusterCallResult): string {
  return `${outcome}: ${text}${nextKey === undefined ? '' : ' (next key)'}`;
}

function runsOf(world: InProcessCluster, runId = 'result'): string {
  return `runs=${world.runs.get(runId) ?? 0}`;
}

void t.test('daemon.serve() answers or refuses calls to idempotent routes', async (t) => {
  const world = await startWorld();
  const calls: Record<string, ClusterCall> = {
    'a known route': { pathAndQuery: '/boards/3?round=2' },
    'an unknown route': { pathAndQuery: '/clocks' },
    'an unknown method': { pathAndQuery: '/boards', method: 'DELETE' },
    'an unknown workspace': { pathAndQuery: '/boards', workspace: 'plato' },
    'a deadline that has passed': { pathAndQuery: '/boards', deadlineMs: 0 },
    'a deadline below the service time': { pathAndQuery: '/boards', deadlineMs: 3 },
  };
  for (const [name, call] of Object.entries(calls)) {
    t.matchSnapshot(describe(await world.callToCompletion('boards-centro-a', call)), name);
  }
});

void t.test('daemon.serve() runs a non-idempotent call once under its key', async (t) => {
  const world = await startWorld();
  const seen: string[] = [];
  const send = async (id: string, call: ClusterCall) => {
    seen.push(`${id} ${describe(await world.callToCompletion(id, call))} ${runsOf(world)}`);
  };
  await send('boards-centro-a', resultCall);
  const key = await issueKey(world, 'boards-centro-a');
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
  const world = await startWorld();
  const key = await issueKey(world, 'boards-centro-a');
  const first = world.call('boards-centro-a', { ...resultCall, key });
  await world.timer.advance(2);
  const second = world.call('boards-norte-a', { ...resultCall, key });
  const ends = await world.advanceUntil(Promise.all([first, second]));
  t.matchSnapshot([...ends.map(describe), runsOf(world)], 'both results');
});

void t.test('daemon.serve() reports a correct outcome when the executor crashes', async (t) => {
  for (const step of Object.values(CrashStep)) {
    const world = await startWorld();
    const key = await issueKey(world, 'boards-centro-a');
    for (const { target } of world.members) target.nextCrashStep = step;
    const result = await world.callToCompletion('boards-centro-a', { ...resultCall, key });
    const again = await world.callToCompletion('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot([describe(result), describe(again), runsOf(world)], step);
  }
});

void t.test('daemon.serve() settles a call whose link broke', async (t) => {
  for (const brokenAt of [FrameKind.Call, FrameKind.Answer]) {
    const world = await startWorld();
    const key = await issueKey(world, 'boards-centro-a');
    let isArmed = true;
    world.network.filter = ({ frame }) => {
      if (!isArmed || frame.kind !== brokenAt) return [{ frame, delayMs: 0 }];
      isArmed = false;
      for (const { instance } of world.members)
        world.network.breakConnections(instance.peerAddress);
      return [];
    };
    const result = await world.callToCompletion('boards-centro-a', { ...resultCall, key });
    t.matchSnapshot([describe(result), runsOf(world)], `lost ${FrameKind[brokenAt]}`);
  }
});

void t.test('daemon.serve() fences a call that arrives late', async (t) => {
  const world = await startWorld();
  const key = await issueKey(world, 'boards-centro-a');
  let isArmed = true;
  world.network.filter = ({ frame }) => {
    if (!isArmed || frame.kind !== FrameKind.Call) return [{ frame, delayMs: 0 }];
    isArmed = false;
    return [
      { frame, delayMs: 0 },
      { frame: { ...frame, stream: frame.stream + 100 }, delayMs: 700 },
    ];
  };
  const result = await world.callToCompletion('boards-centro-a', { ...resultCall, key });
  await world.timer.advance(2_000);
  t.matchSnapshot([describe(result), runsOf(world)], 'a call delivered twice');
});

void t.test('daemon.serve() never runs a call again whose key owner is gone', async (t) => {
  const world = await startWorld();
  const key = await issueKey(world, 'boards-centro-a');
  const spare = await issueKey(world, 'boards-centro-a');
  const first = await world.callToCompletion('boards-centro-a', { ...resultCall, key });
  world.restartDaemon('boards-centro-a');
  await world.timer.advance(1_000);
  const resend = await world.callToCompletion('boards-norte-a', { ...resultCall, key });
  const unused = await world.callToCompletion('boards-centro-a', { ...resultCall, key: spare });
  t.matchSnapshot([first, resend, unused].map(describe).concat(runsOf(world)), 'results');
});

void t.test('daemon.drain() hands keys over to a successor', async (t) => {
  const world = await startWorld();
  const key = await issueKey(world, 'boards-centro-a');
  const spare = await issueKey(world, 'boards-centro-a');
  const open = world.call('boards-centro-a', { ...resultCall, key });
  await world.timer.advance(1);
  const drained = await world.advanceUntil(world.member('boards-centro-a').daemon.drain());
  world.stopDaemon('boards-centro-a');
  const resend = await world.callToCompletion('boards-norte-a', { ...resultCall, key });
  const unused = { ...resultCall, key: spare, runId: 'second', body: '0-1' };
  const late = await world.callToCompletion('results-centro-b', unused);
  const ends = [await open, resend, late].map(describe);
  t.matchSnapshot([...ends, runsOf(world), runsOf(world, 'second')], 'results');
  t.match(drained, { accepted: 1, lost: 0 });
});

void t.test(
  'daemon.serve() runs a call of a restricted route in its home regions only',
  async (t) => {
    const world = await startWorld();
    const restrictedCall = { ...resultCall, workspace: 'norte-club' };
    const away = await world.callToCompletion('boards-centro-a', restrictedCall);
    const key = await issueKey(world, 'boards-norte-a', restrictedCall);
    const home = await world.callToCompletion('boards-norte-a', { ...restrictedCall, key });
    const awayWithKey = await world.callToCompletion('boards-centro-a', { ...restrictedCall, key });
    const ranIn = world.members
      .filter(({ target }) => target.runs > 0)
      .map(({ instance }) => instance.id);
    t.matchSnapshot(
      [away, home, awayWithKey].map(describe).concat(runsOf(world), ranIn),
      'results',
    );
  },
);

void t.test('guard refuses attempts in a failure domain that is out of service', async (t) => {
  const world = await startWorld();
  const out = EXAMPLE_DOMAINS.filter((name) => name !== 'norte-b');
  world.platform.publish(makeExampleConfiguration({ version: 2, outDomains: out }));
  await world.timer.advance(2_000);
  const before = world.members.map(({ target }) => target.runs);
  const results = [];
  for (const { instance } of world.members) {
    results.push(
      describe(await world.callToCompletion(instance.id, { pathAndQuery: '/boards/1' })),
    );
  }
  const ranIn = world.members
    .filter(({ target }, index) => target.runs > (before[index] ?? 0))
    .map(({ instance }) => instance.id);
  t.matchSnapshot([...new Set(results), ...ranIn], 'all but norte-b out of service');
  world.platform.publish(makeExampleConfiguration({ version: 3 }));
  await world.timer.advance(2_000);
  const back = await world.callToCompletion('boards-centro-a', { pathAndQuery: '/boards/1' });
  t.matchSnapshot(describe(back), 'back in service');
});

void t.test('configuration never reverts and is distributed without the platform', async (t) => {
  const world = await startWorld();
  const versions = () =>
    [...new Set(world.members.map(({ daemon }) => daemon.status.configurationVersion))].join(',');
  const seen: string[] = [];
  const step = async (name: string, act: () => void) => {
    act();
    await world.timer.advance(8_000);
    seen.push(`${name}: versions ${versions()}`);
  };
  await step('published', () => {
    world.platform.publish(makeExampleConfiguration({ version: 2 }));
  });
  await step('service down, one daemon restarted', () => {
    world.platform.setState(PlatformState.Down);
    world.restartDaemon('boards-centro-a');
  });
  await step('service back with an old version', () => {
    world.platform.setState(PlatformState.Up);
    world.platform.publish(makeExampleConfiguration({ version: 1 }));
  });
  await step('one daemon restarted while the service is stale', () => {
    world.restartDaemon('results-norte-a');
  });
  await step('a version with findings', () => {
    const broken = makeExampleConfiguration({ version: 3 });
    world.platform.publish({ ...broken, pools: [] });
  });
  const { rejected } = world.member('boards-centro-b').daemon.status;
  t.matchSnapshot([...seen, ...(rejected?.findings ?? ['none'])], 'versions in force');
});

void t.test('daemon discards outdated state after a pause', async (t) => {
  const world = await startWorld();
  const key = await issueKey(world, 'boards-centro-a');
  const { clock } = world.member('boards-centro-a');
  clock.pause();
  await world.timer.advance(20_000);
  clock.resume();
  const atResume = await world.call('boards-centro-a', { ...resultCall, key });
  await world.timer.advance(3_000);
  const later = await world.callToCompletion('boards-centro-a', { ...resultCall, key });
  t.matchSnapshot([describe(atResume), describe(later), runsOf(world)], 'results');
});

void t.test('quarantine blocks a call that crashes each target', async (t) => {
  const world = await startWorld();
  const poison: ClusterCall = { pathAndQuery: '/halls/9', headers: [['x-poison', '1']] };
  const seen: string[] = [];
  for (let round = 0; round < 3; round += 1) {
    seen.push(describe(await world.callToCompletion('results-centro-a', poison)));
    seen.push(
      `innocent ${describe(await world.callToCompletion('results-centro-a', { pathAndQuery: '/halls/1' }))}`,
    );
    await world.timer.advance(2_000);
  }
  const starts = world.members.map(({ target }) => target.starts - 1);
  seen.push(`crashes=${starts.reduce((sum, each) => sum + each, 0)}`);
  await world.timer.advance(90_000);
  seen.push(
    `later ${describe(await world.callToCompletion('results-centro-a', { pathAndQuery: '/halls/9' }))}`,
  );
  t.matchSnapshot(seen, 'rounds');
});

void t.test(
  'a key that was handed over is found while its issuer starts without a configuration',
  async (t) => {
    const world = await startWorld();
    const key = await issueKey(world, 'boards-centro-a');
    await world.callToCompletion('boards-centro-a', { ...resultCall, key });
    await world.advanceUntil(world.member('boards-centro-a').daemon.drain());
    world.stopDaemon('boards-centro-a');
    const before = await world.callToCompletion('boards-norte-a', { ...resultCall, key });
    world.platform.setState(PlatformState.Down);
    world.restartDaemon('boards-centro-a');
    await world.timer.advance(200);
    const resend = await world.callToCompletion('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot([before, resend].map(describe).concat(runsOf(world)), 'results');
  },
);

void t.test(
  'an issued key is not refused as invalid after its route was restricted to home regions',
  async (t) => {
    const world = await startWorld();
    const key = await issueKey(world, 'boards-centro-a');
    const example = makeExampleConfiguration({ version: 2 });
    const workspaces = example.workspaces.map((each) => ({ ...each, homeRegions: ['ar-norte'] }));
    world.platform.publish({ ...example, workspaces });
    await world.timer.advance(500);
    const resend = await world.callToCompletion('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot(describe(resend), 'result');
  },
);
