import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import t from 'tap';
import { request } from 'undici';
import { WebSocket } from 'ws';
import { MemoryLog } from '../event_log/mod.ts';
import { makeExampleConfiguration } from '../fakes/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import { parseSettings } from '../settings/mod.ts';
import { PlatformStandIn } from '../stand_in/mod.ts';
import { DaemonProcess } from './mod.ts';

const BODY_LIMIT_BYTES = 1_048_576;
const LARGE_BYTES = 900_000;
/** Time after which a call counts as never answered, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1_500;

interface Fixture {
  target: Server;
  platform: PlatformStandIn;
  entry: DaemonProcess;
  guard: DaemonProcess;
  log: MemoryLog;
  /** Paths of calls whose connection was closed before the target had answered. */
  cancelled: string[];
}

function makeUnusualAnswer(status: string, line: string): string {
  return `HTTP/1.1 ${status}\r\n${line}\r\nContent-Length: 2\r\n\r\nok`;
}

/** Answers that the engine's HTTP server may refuse to send, by path; each character is one byte. */
const UNUSUAL_ANSWERS: Readonly<Record<string, string>> = {
  '/boards/utf-8': makeUnusualAnswer('200 OK', 'X-Name: \u00e4\u00bd\u00a0\u00c3\u00a9'),
  '/boards/latin-1': makeUnusualAnswer('200 OK', 'X-Name: \u00e9\u00ff'),
  '/boards/control-character': makeUnusualAnswer('200 OK', 'X-Name: a\u0001b'),
  '/boards/delete-character': makeUnusualAnswer('200 OK', 'X-Name: a\u007fb'),
  '/boards/header-name': makeUnusualAnswer('200 OK', 'X(Name): a'),
  '/boards/status-000': makeUnusualAnswer('000 None', 'X-Name: a'),
  '/boards/status-099': makeUnusualAnswer('099 None', 'X-Name: a'),
  '/boards/status-999': makeUnusualAnswer('999 None', 'X-Name: a'),
  '/boards/status-101': makeUnusualAnswer('101 Switching', 'X-Name: a'),
  '/boards/bad-length': 'HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok',
  '/boards/no-content': 'HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\nok',
};

/** Returns a target that echoes, resets in the middle of an answer, or hangs until it is cancelled. */
function makeTargetHandler(cancelled: string[]) {
  return (req: IncomingMessage, res: ServerResponse) => {
    const path = req.url ?? '';
    if (path.startsWith('/boards/reset')) {
      res.writeHead(200, { 'content-length': 100 });
      res.write('only the start', () => req.socket.resetAndDestroy());
    } else if (path in UNUSUAL_ANSWERS) {
      req.socket.end(UNUSUAL_ANSWERS[path] ?? '', 'latin1');
    } else if (path.startsWith('/boards/hang')) {
      res.once('close', () => cancelled.push(path));
    } else if (path.startsWith('/boards/large')) {
      res.end(Buffer.alloc(LARGE_BYTES, 'x'));
    } else if (path.startsWith('/boards/collect')) {
      req.on('error', () => undefined);
      req.resume().once('end', () => res.end());
    } else {
      req.on('error', () => undefined);
      req.pipe(res);
    }
  };
}

async function startFixture(): Promise<Fixture> {
  const cancelled: string[] = [];
  const target = createServer(makeTargetHandler(cancelled));
  await new Promise<void>((resolve) => {
    target.listen(0, '127.0.0.1', resolve);
  });
  const configuration = JSON.stringify(makeExampleConfiguration());
  const platform = await PlatformStandIn.listen({ configuration, lagMs: 0 });
  const log = new MemoryLog(1_000);
  const [entry, guard] = await Promise.all([
    startDaemon('results', { target, platform, log }),
    startDaemon('boards', { target, platform, log }),
  ]);
  const instances = [entry, guard].map(({ daemon, peerPort, callerPort }) => ({
    id: daemon.status.instance,
    pool: daemon.status.pool,
    failureDomain: 'centro-a',
    peerAddress: `127.0.0.1:${peerPort}`,
    callerAddress: `127.0.0.1:${callerPort}`,
    stage: InstanceStage.Live,
  }));
  platform.setInstances(instances);
  while ([entry, guard].some(({ daemon }) => daemon.stage !== InstanceStage.Live))
    await sleepBriefly();
  return { target, platform, entry, guard, log, cancelled };
}

async function startDaemon(
  pool: string,
  { target, platform, log }: Pick<Fixture, 'target' | 'platform' | 'log'>,
): Promise<DaemonProcess> {
  const settings = parseSettings(
    'test',
    JSON.stringify({
      instance: { id: pool, pool, failureDomain: 'centro-a' },
      callers: { port: 0 },
      peers: { port: 0 },
      operators: { port: 0 },
      target: { url: `http://127.0.0.1:${(target.address() as AddressInfo).port}` },
      platform: { url: `http://127.0.0.1:${platform.port}` },
    }),
  );
  const started = await DaemonProcess.start({ settings: settings._unsafeUnwrap(), log });
  return started._unsafeUnwrap();
}

async function stopFixture({ target, platform, entry, guard }: Fixture): Promise<void> {
  await Promise.all([entry.drain(), guard.drain()]);
  platform.close();
  target.closeAllConnections();
  target.close();
}

function sleepBriefly(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 5);
  });
}

interface TestRequest {
  method?: 'GET' | 'PUT' | 'POST';
  path?: string;
  headers?: Record<string, string>;
  body?: Buffer | AsyncIterable<Buffer>;
}

async function send({ entry }: Fixture, sent: TestRequest): Promise<string> {
  try {
    const res = await request(`http://127.0.0.1:${entry.callerPort}${sent.path ?? '/boards/1'}`, {
      method: sent.method ?? 'GET',
      headers: { 'rhubarbkeel-workspace': 'plata', ...sent.headers },
      body: sent.body as Buffer | undefined,
    });
    const body = Buffer.from(await res.body.arrayBuffer());
    const outcome = String(res.headers['rhubarbkeel-outcome']);
    if (outcome === 'unknown') return `${res.statusCode} unknown`;
    const isProblem = res.headers['content-type'] === 'application/problem+json';
    const problem = isProblem ? (JSON.parse(body.toString()) as { detail: string }).detail : '';
    return `${res.statusCode} ${outcome} ${isProblem ? problem : `${body.length} bytes`}`;
  } catch {
    return 'broken connection';
  }
}

/** Makes a call over a connection of its own and returns the status and the bytes of a header. */
async function exchangeRaw(port: number, path: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => (received += bytes.toString('latin1')));
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.setTimeout(ANSWER_TIMEOUT_MS, () => socket.destroy());
  const lines = [`GET ${path} HTTP/1.1`, 'host: x', 'rhubarbkeel-workspace: plata'];
  socket.write(`${lines.join('\r\n')}\r\nconnection: close\r\n\r\n`);
  await closed;
  const [, status = 'no answer'] = /^HTTP\/1\.1 (\d+)/.exec(received) ?? [];
  const [, name = ''] = /^x-name: (.*)$/im.exec(received.replaceAll('\r', '')) ?? [];
  return `${status} ${Buffer.from(name, 'latin1').toString('hex')}`.trim();
}

async function* chunks(count: number, size: number): AsyncGenerator<Buffer> {
  for (let index = 0; index < count; index += 1)
    yield await Promise.resolve(Buffer.alloc(size, 'y'));
}

void t.test('caller server handles bad input and keeps serving', async (t) => {
  const fixture = await startFixture();
  t.teardown(() => stopFixture(fixture));
  const cases: Record<string, TestRequest> = {
    'a good call': {},
    'oversized headers': { headers: { 'x-large': 'z'.repeat(20_000) } },
    'an announced body above the limit': {
      method: 'PUT',
      body: Buffer.alloc(BODY_LIMIT_BYTES + 1),
    },
    'a streamed body above the limit': {
      method: 'PUT',
      path: '/boards/collect',
      body: chunks(40, 65_536),
    },
    'a streamed body above the limit whose answer has started': {
      method: 'PUT',
      body: chunks(40, 65_536),
    },
    'a streamed body within the limit': { method: 'PUT', body: chunks(14, 65_536) },
    'a streamed body without a key': { method: 'POST', path: '/results', body: chunks(2, 10) },
    'an unknown route': { path: '/clocks' },
    'an unknown workspace': { headers: { 'rhubarbkeel-workspace': 'plato' } },
    'a malformed deadline': { headers: { 'rhubarbkeel-deadline-ms': 'soon' } },
    'a deadline that has passed': { headers: { 'rhubarbkeel-deadline-ms': '-3' } },
    'a call chain that is too deep': { headers: { 'rhubarbkeel-depth': '32' } },
    'a large answer': { path: '/boards/large' },
    'a target that resets in the middle of its answer': { path: '/boards/reset' },
    'a good call afterwards': {},
  };
  for (const [name, testRequest] of Object.entries(cases))
    t.matchSnapshot(await send(fixture, testRequest), name);
});

void t.test('an answer that cannot be sent on ends its call, not the process', async (t) => {
  const fixture = await startFixture();
  t.teardown(() => stopFixture(fixture));
  const failures: string[] = [];
  const recordFailure = (error: unknown) => failures.push(String(error));
  process.on('unhandledRejection', recordFailure);
  const seen: string[] = [];
  for (const path of Object.keys(UNUSUAL_ANSWERS)) {
    seen.push(`${path}: ${await exchangeRaw(fixture.entry.callerPort, path)}`);
  }
  process.off('unhandledRejection', recordFailure);
  t.matchSnapshot([...seen, await send(fixture, {}), ...failures], 'received');
});

void t.test('peer server closes the link of a malformed frame and keeps serving', async (t) => {
  const fixture = await startFixture();
  t.teardown(() => stopFixture(fixture));
  const socket = new WebSocket(`ws://127.0.0.1:${fixture.guard.peerPort}`);
  await new Promise((resolve) => socket.once('open', resolve));
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.on('error', () => undefined);
  socket.send(Buffer.from([0xc1, 0xff, 0x00]));
  await closed;
  const rejected = fixture.log.lines().filter((line) => line.startsWith('event=link-rejected'));
  t.matchSnapshot([await send(fixture, {}), ...rejected], 'after the malformed frame');
});

void t.test('caller that disconnects cancels its call at the target', async (t) => {
  const fixture = await startFixture();
  t.teardown(() => stopFixture(fixture));
  const socket = connect(fixture.entry.callerPort, '127.0.0.1');
  socket.write('GET /boards/hang HTTP/1.1\r\nhost: x\r\nrhubarbkeel-workspace: plata\r\n\r\n');
  while (fixture.guard.daemon.status.load.inFlight === 0) await sleepBriefly();
  socket.destroy();
  while (fixture.cancelled.length === 0) await sleepBriefly();
  t.matchSnapshot(fixture.cancelled, 'cancelled at the target');
});
