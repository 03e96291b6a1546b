import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import t from 'tap';
import { MemoryLog } from '../event_log/mod.ts';
import { makeExampleConfiguration } from '../fakes/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import { parseSettings } from '../settings/mod.ts';
import { PlatformStandIn } from '../stand_in/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { DaemonProcess } from './mod.ts';

const DEADLINE_MS = 800;
/** Time after which all connections must be closed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 2_500;
const DISCONNECT_AFTER_MS = 100;
const POLL_MS = 10;
/** Limit of what the buffers of all connections between target and caller hold, in bytes. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** Behaviour of a caller that gets an unbounded answer. */
enum CallerBehaviour {
  KeepsReading = 'reads on',
  StopsReading = 'stops reading',
  Disconnects = 'leaves',
}

const timer = new RealTimer();

/** Starts a target whose answers never end. */
async function listenTarget(targetSockets: Socket[]) {
  const flood = (res: ServerResponse) => {
    while (!res.destroyed && res.write(Buffer.alloc(16_384)));
  };
  const server = createServer((req, res) => {
    if (req.url === '/health') {
      res.end();
      return;
    }
    targetSockets.push(req.socket);
    res.on('drain', () => {
      flood(res);
    });
    flood(res);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

async function start(pool: string, targetPort: number, platform: PlatformStandIn) {
  const settings = parseSettings(
    'test',
    JSON.stringify({
      instance: { id: pool, pool, failureDomain: 'centro-a' },
      callers: { port: 0 },
      peers: { port: 0 },
      operators: { port: 0 },
      target: { url: `http://127.0.0.1:${targetPort}` },
      platform: { url: `http://127.0.0.1:${platform.port}` },
    }),
  );
  const log = new MemoryLog(1_000);
  return (await DaemonProcess.start({ settings: settings._unsafeUnwrap(), log }))._unsafeUnwrap();
}

async function runCall(
  entry: DaemonProcess,
  guard: DaemonProcess,
  caller: CallerBehaviour,
  targetSockets: Socket[],
) {
  const socket = connect(entry.callerPort, '127.0.0.1');
  let closedAtMs: number | undefined;
  const startMs = timer.now();
  socket.on('error', () => undefined);
  socket.on('close', () => {
    closedAtMs = timer.now() - startMs;
  });
  if (caller === CallerBehaviour.KeepsReading) socket.resume();
  const head = ['GET /boards/1 HTTP/1.1', 'host: x', 'rhubarbkeel-workspace: plata'];
  socket.write(`${head.join('\r\n')}\r\nrhubarbkeel-deadline-ms: ${DEADLINE_MS}\r\n\r\n`);
  await sleep(timer, DISCONNECT_AFTER_MS);
  if (caller === CallerBehaviour.Disconnects) socket.destroy();
  const target = targetSockets.at(-1);
  const isOpen = () => guard.daemon.status.load.inFlight > 0 || target?.destroyed === false;
  while (isOpen() && timer.now() - startMs < CLOSE_TIMEOUT_MS) await sleep(timer, POLL_MS);
  const isInTime =
    caller === CallerBehaviour.Disconnects ? timer.now() - startMs < DEADLINE_MS : !isOpen();
  // A caller that does not read detects a reset only when it writes.
  socket.write('more');
  await sleep(timer, DISCONNECT_AFTER_MS);
  const isBounded =
    caller === CallerBehaviour.KeepsReading || (target?.bytesWritten ?? 0) < MAX_BUFFERED_BYTES;
  const bytes = isBounded ? 'bounded' : 'read on';
  const end = `target ${isInTime ? 'closed in time' : 'left open'}, bytes ${bytes}`;
  const result = `${end}, caller's connection ${closedAtMs === undefined ? 'open' : 'closed'}`;
  socket.destroy();
  return result;
}

void t.test('an unbounded answer is terminated towards the caller and at the target', async (t) => {
  const targetSockets: Socket[] = [];
  const target = await listenTarget(targetSockets);
  const { port } = target.address() as AddressInfo;
  const configuration = JSON.stringify(makeExampleConfiguration());
  const platform = await PlatformStandIn.listen({ configuration, lagMs: 0 });
  const [entry, guard] = await Promise.all([
    start('results', port, platform),
    start('boards', port, platform),
  ]);
  t.teardown(async () => {
    await Promise.all([entry.drain(), guard.drain()]);
    platform.close();
    target.closeAllConnections();
    target.close();
  });
  platform.setInstances(
    [entry, guard].map(({ daemon, peerPort, callerPort }) => ({
      id: daemon.status.instance,
      pool: daemon.status.pool,
      failureDomain: 'centro-a',
      peerAddress: `127.0.0.1:${peerPort}`,
      callerAddress: `127.0.0.1:${callerPort}`,
      stage: InstanceStage.Live,
    })),
  );
  while ([entry, guard].some(({ daemon }) => daemon.stage !== InstanceStage.Live)) {
    await sleep(timer, POLL_MS);
  }
  const seen: string[] = [];
  for (const caller of Object.values(CallerBehaviour)) {
    seen.push(
      `over a link, caller ${caller}: ${await runCall(entry, guard, caller, targetSockets)}`,
    );
    seen.push(
      `same machine, caller ${caller}: ${await runCall(guard, guard, caller, targetSockets)}`,
    );
  }
  t.matchSnapshot(seen, 'results');
});
