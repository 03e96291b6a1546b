import t from 'tap';
import {
  EXAMPLE_DOMAINS,
  ServiceState,
  World,
  exampleConfiguration,
  type WorldCall,
  type WorldResult,
} from '../fakes/mod.ts';

const placings = ['boards', 'results'].flatMap((pool) =>
  EXAMPLE_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
);

const resultCall: WorldCall = { method: 'POST', target: '/results', body: '1-0', runId: 'result' };

function startWorld(): Promise<World> {
  return World.start({ configuration: exampleConfiguration(), placings });
}

async function issueKey(world: World, id: string, call: WorldCall = resultCall): Promise<string> {
  const { nextKey } = await world.callNow(id, call);
  return nextKey ?? 'none';
}

function describe({ outcome, text, nextKey }: WorldResult): string {
  return `${outcome}: ${text}${nextKey === undefined ? '' : ' (next key)'}`;
}

function runsOf(world: World, runId = 'result'): string {
  return `runs=${world.runs.get(runId) ?? 0}`;
}

void t.test(
  'a key that was handed on is found while its issuer starts without a configuration',
  async (t) => {
    const world = await startWorld();
    const key = await issueKey(world, 'boards-centro-a');
    await world.callNow('boards-centro-a', { ...resultCall, key });
    await world.until(world.member('boards-centro-a').daemon.drain());
    world.stopDaemon('boards-centro-a');
    const before = await world.callNow('boards-norte-a', { ...resultCall, key });
    world.platform.setState(ServiceState.Down);
    world.restartDaemon('boards-centro-a');
    await world.timer.advance(200);
    const resend = await world.callNow('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot([before, resend].map(describe).concat(runsOf(world)), 'ends');
  },
);

void t.test(
  'a key that was issued is not called invalid after its route got home regions',
  async (t) => {
    const world = await startWorld();
    const key = await issueKey(world, 'boards-centro-a');
    const example = exampleConfiguration({ version: 2 });
    const workspaces = example.workspaces.map((each) => ({ ...each, homeRegions: ['ar-norte'] }));
    world.platform.publish({ ...example, workspaces });
    await world.timer.advance(500);
    const resend = await world.callNow('boards-norte-a', { ...resultCall, key });
    t.matchSnapshot(describe(resend), 'end');
  },
);
