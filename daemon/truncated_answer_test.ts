import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import t, { type Test } from 'tap';
import { MemoryLog } from '../event_log/mod.ts';
import { makeExampleConfiguration } from '../fakes/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import { parseSettings } from '../settings/mod.ts';
import { PlatformStandIn } from '../stand_in/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { DaemonProcess } from './mod.ts';

const DEADLINE_MS = 250;
const POLL_MS = 5;
/** Longer than what a guard buffers before it forwards an answer, in bytes. */
const LARGE_BYTES = 200_000;

/** How a target ends its connection in the middle of an answer. */
enum Ending {
  Close = 'close',
  Reset = 'reset',
  Silence = 'silence',
}

enum Framing {
  Length = 'length',
  Chunks = 'chunks',
  /** The end of the connection ends the answer. */
  Connection = 'connection',
}

const timer = new RealTimer();

function makeAnswer(framing: Framing, bodyBytes: number): string {
  const body = 'b'.repeat(bodyBytes);
  const head = 'HTTP/1.1 200 OK\r\nX-Board: 3\r\n';
  switch (framing) {
    case Framing.Length:
      return `${head}Content-Length: ${bodyBytes}\r\n\r\n${body}`;
    case Framing.Chunks:
      return `${head}Transfer-Encoding: chunked\r\n\r\n${bodyBytes.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
    case Framing.Connection:
      return `${head}Connection: close\r\n\r\n${body}`;
  }
}

/** Number of bytes after which an answer is cut, by what the last one belongs to. */
function findCuts(answer: string): Record<string, number> {
  const headEnd = answer.indexOf('\r\n\r\n');
  return {
    'nothing sent': 0,
    'in the status line': 12,
    'after the status line': answer.indexOf('\r\n') + 2,
    'in a header': answer.indexOf('X-Board') + 4,
    'after the last header': headEnd + 2,
    'before the last line break': headEnd + 3,
    'after the head': headEnd + 4,
    'in the body': Math.floor((headEnd + answer.length) / 2),
    'before the last byte': answer.length - 1,
  };
}

/** Target that sends the start of an answer on each connection and then ends it. */
class TruncatingTarget {
  answer = '';
  sentBytes = 0;
  ending = Ending.Close;
  readonly sockets = new Set<Socket>();
  readonly #server: Server;

  constructor() {
    this.#server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('data', (bytes) => {
        if (bytes.toString().startsWith('GET')) this.#answer(socket);
      });
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.#server.close();
  }

  #answer(socket: Socket): void {
    socket.write(this.answer.slice(0, this.sentBytes), () => {
      if (this.ending === Ending.Close) socket.end();
      // A reset overtakes bytes that have not been read.
      if (this.ending === Ending.Reset) setTimeout(() => socket.resetAndDestroy(), POLL_MS);
    });
  }
}

/** Describes what a caller received: a server error, a success that is complete, or one that is cut. */
function describeReceived(received: string): string {
  const status = /^HTTP\/1\.1 (\d+)/.exec(received)?.[1];
  if (status === undefined) return 'no answer';
  if (!status.startsWith('2')) return status;
  const [head = '', body = ''] = received.split(/\r\n\r\n(.*)/s);
  const length = /content-length: *(\d+)/i.exec(head)?.[1];
  const isWhole = length === undefined ? body.endsWith('0\r\n\r\n') : body.length >= Number(length);
  return isWhole ? `${status} complete` : `${status} cut`;
}

async function call(port: number): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    received += bytes.toString();
  });
  socket.on('close', () => {
    isClosed = true;
  });
  const lines = ['GET /boards/3 HTTP/1.1', 'host: x', 'rhubarbkeel-workspace: plata'];
  socket.write(`${lines.join('\r\n')}\r\nrhubarbkeel-deadline-ms: ${DEADLINE_MS}\r\n\r\n`);
  const endMs = timer.now() + 3 * DEADLINE_MS;
  const isPending = () =>
    !isClosed && (received === '' || describeReceived(received).endsWith('cut'));
  while (isPending() && timer.now() < endMs) await sleep(timer, POLL_MS);
  socket.destroy();
  return describeReceived(received);
}

/**
 * Whether the caller sees a server error or a cut answer depends on which comes first at its
 * deadline, the refusal or the first bytes of the answer.
 */
function isNotComplete(result: string): boolean {
  return /^5\d\d$/.test(result) || /^2\d\d cut$/.test(result);
}

async function startDaemon(pool: string, target: TruncatingTarget, platform: PlatformStandIn) {
  const settings = parseSettings(
    'test',
    JSON.stringify({
      instance: { id: pool, pool, failureDomain: 'centro-a' },
      callers: { port: 0 },
      peers: { port: 0 },
      operators: { port: 0 },
      target: { url: `http://127.0.0.1:${target.port}` },
      platform: { url: `http://127.0.0.1:${platform.port}` },
    }),
  );
  const log = new MemoryLog(1_000);
  return (await DaemonProcess.start({ settings: settings._unsafeUnwrap(), log }))._unsafeUnwrap();
}

async function startDaemons(t: Test, target: TruncatingTarget) {
  await target.listen();
  const configuration = JSON.stringify(makeExampleConfiguration());
  const platform = await PlatformStandIn.listen({ configuration, lagMs: 0 });
  const [entry, guard] = await Promise.all([
    startDaemon('results', target, platform),
    startDaemon('boards', target, platform),
  ]);
  t.teardown(async () => {
    target.close();
    await Promise.all([entry.drain(), guard.drain()]);
    platform.close();
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
  while ([entry, guard].some(({ daemon }) => daemon.stage !== InstanceStage.Live))
    await sleep(timer, POLL_MS);
  return { entry, guard };
}

void t.test('an answer that breaks off never reaches the caller as complete', async (t) => {
  const target = new TruncatingTarget();
  const { entry, guard } = await startDaemons(t, target);
  const seen: string[] = [];
  for (const framing of Object.values(Framing)) {
    for (const bodyBytes of [100, LARGE_BYTES]) {
      for (const ending of Object.values(Ending)) {
        target.answer = makeAnswer(framing, bodyBytes);
        target.ending = ending;
        const results: string[] = [];
        for (const [cut, sentBytes] of Object.entries(findCuts(target.answer))) {
          const isInBody = sentBytes > target.answer.indexOf('\r\n\r\n') + 3;
          // The end of the connection is the end of such an answer.
          if (framing === Framing.Connection && ending === Ending.Close && isInBody) continue;
          target.sentBytes = sentBytes;
          const [remote, local] = await Promise.all([
            call(entry.callerPort),
            call(guard.callerPort),
          ]);
          const isTruthful = isNotComplete(remote) && isNotComplete(local);
          const result = isTruthful ? 'not complete' : `${remote} over a link, ${local} locally`;
          if (results.at(-1)?.endsWith(`: ${result}`) !== true) results.push(`${cut}: ${result}`);
        }
        seen.push(`${framing}, ${bodyBytes} bytes, ${ending}: ${results.join(', from ')}`);
      }
    }
  }
  t.matchSnapshot(seen, 'results');
});

void t.test('an answer whose daemons end in the middle of it is not complete', async (t) => {
  const seen: string[] = [];
  for (const ended of ['entry', 'guard'] as const) {
    const target = new TruncatingTarget();
    const daemons = await startDaemons(t, target);
    target.answer = makeAnswer(Framing.Length, LARGE_BYTES);
    target.ending = Ending.Silence;
    target.sentBytes = LARGE_BYTES / 2;
    const pending = call(daemons.entry.callerPort);
    await sleep(timer, DEADLINE_MS / 4);
    daemons[ended].daemon.kill();
    seen.push(`${ended} killed: ${await pending}`);
  }
  t.matchSnapshot(seen, 'results');
});
