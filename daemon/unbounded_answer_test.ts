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
/** Time after which everything must have ended, in milliseconds. */
const ENDED_MS = 2_500;
const LEAVES_AFTER_MS = 100;
const LOOK_MS = 10;
/** What the buffers of all connections on the way can take, in bytes. */
const STOPPED_BYTES = 33_554_432;

/** What a caller does with an answer without end. */
enum Caller {
  Reads = 'reads on',
  Stops = 'stops reading',
  Leaves = 'leaves',
}

const timer = new RealTimer();

/** A target whose answer never ends. */
async function listenTarget(sockets: Socket[]) {
  const flood = (res: ServerResponse) => {
    while (!res.destroyed && res.write(Buffer.alloc(16_384)));
  };
  const server = createServer((req, res) => {
    if (req.url === '/health') {
      res.end();
      return;
    }
    sockets.push(req.socket);
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

async function play(entry: DaemonProcess, guard: DaemonProcess, caller: Caller, sent: Socket[]) {
  const socket = connect(entry.callerPort, '127.0.0.1');
  let closedAtMs: number | undefined;
  const startMs = timer.now();
  socket.on('error', () => undefined);
  socket.on('close', () => {
    closedAtMs = timer.now() - startMs;
  });
  if (caller === Caller.Reads) socket.resume();
  const head = ['GET /boards/1 HTTP/1.1', 'host: x', 'rhubarbkeel-workspace: plata'];
  socket.write(`${head.join('\r\n')}\r\nrhubarbkeel-deadline-ms: ${DEADLINE_MS}\r\n\r\n`);
  await sleep(timer, LEAVES_AFTER_MS);
  if (caller === Caller.Leaves) socket.destroy();
  const target = sent.at(-1);
  const isOpen = () => guard.daemon.status.load.inFlight > 0 || target?.destroyed === false;
  while (isOpen() && timer.now() - startMs < ENDED_MS) await sleep(timer, LOOK_MS);
  const isInTime = caller === Caller.Leaves ? timer.now() - startMs < DEADLINE_MS : !isOpen();
  // One that does not read sees a reset only once it writes.
  socket.write('more');
  await sleep(timer, LEAVES_AFTER_MS);
  const isBounded = caller === Caller.Reads || (target?.bytesWritten ?? 0) < STOPPED_BYTES;
  const bytes = isBounded ? 'bounded' : 'read on';
  const end = `target ${isInTime ? 'closed in time' : 'left open'}, bytes ${bytes}`;
  const result = `${end}, caller's connection ${closedAtMs === undefined ? 'open' : 'closed'}`;
  socket.destroy();
  return result;
}

void t.test('an answer without end is cut for its caller, and at the target', async (t) => {
  const sockets: Socket[] = [];
  const target = await listenTarget(sockets);
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
    await sleep(timer, LOOK_MS);
  }
  const seen: string[] = [];
  for (const caller of Object.values(Caller)) {
    seen.push(`over a link, caller ${caller}: ${await play(entry, guard, caller, sockets)}`);
    seen.push(`same machine, caller ${caller}: ${await play(guard, guard, caller, sockets)}`);
  }
  t.matchSnapshot(seen, 'ends');
});
