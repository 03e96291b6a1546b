import { createServer, type AddressInfo } from 'node:net';
import t from 'tap';
import { EMPTY_BODY } from '../contract/mod.ts';
import { InProcessCluster, makeExampleConfiguration, type ClusterCall } from '../fakes/mod.ts';
import { PlatformDialect, StoreClient } from '../platform/mod.ts';
import { FrameKind, TargetClient, type AnswerFrame } from './mod.ts';

const CALL_ID = '9c41';
const CALL_MS = 2_000;
/** Statuses as a target may write them; HTTP has those from 100 to 599. */
const STATUSES = ['000', '001', '099', '103', '199', '200', '599', '600', '999'];
const PAGE = '{"items":[],"has_more":false,"at_rev":7}';
const ANSWER_HEADERS = `Request-Id: ${CALL_ID}\r\nResponse-Signature: 3e1b`;
const REPORT_HEADERS = 'Instance-Id: i-1';

/** Listens at a port where each request is answered with a status, and counts the connections. */
async function listen(status: string): Promise<{
  url: string;
  countConnections: () => number;
  close: () => void;
}> {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const headers = bytes.toString().startsWith('GET /health') ? REPORT_HEADERS : ANSWER_HEADERS;
      const length = `Content-Length: ${PAGE.length}`;
      socket.write(`HTTP/1.1 ${status} X\r\n${headers}\r\n${length}\r\n\r\n${PAGE}`);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const close = () => void server.close();
  return { url: `http://127.0.0.1:${port}`, countConnections: () => connections, close };
}

async function callTarget(client: TargetClient): Promise<string> {
  const result = await client.run({
    callId: CALL_ID,
    callerPool: 'boards',
    targetId: undefined,
    method: 'GET',
    pathAndQuery: '/',
    headers: [['request-id', CALL_ID]],
    body: EMPTY_BODY,
    leftMs: CALL_MS,
    signal: AbortSignal.timeout(CALL_MS),
  });
  return result.isOk()
    ? `answer ${result.value.status}`
    : `${result.error.kind} (${result.error.detail.replaceAll(/\d+ bytes/g, 'N bytes')})`;
}

// Guards against a status that HTTP does not have reaching a caller as an answer, or a failed assertion.
void t.test('a status out of range is no answer, and ends its connection', async (t) => {
  const seen: string[] = [];
  for (const status of STATUSES) {
    const server = await listen(status);
    const client = new TargetClient(server.url, {
      connections: 1,
      healthPath: '/health',
      dialect: new PlatformDialect(),
    });
    const calls = [await callTarget(client), await callTarget(client)];
    const report = await client.probe();
    const connections = server.countConnections();
    await client.close();
    const store = new StoreClient(server.url);
    const range = await store.readRange('op/');
    await store.close();
    server.close();
    const probe = report ? `a report, healthy: ${report.isHealthy}` : 'none';
    const page = range.isOk() ? 'read' : range.error.detail;
    seen.push(
      `${status}: ${calls[0] ?? ''}; second call ${calls[0] === calls[1] ? 'alike' : 'differs'}`,
      `${status}: probe ${probe}; 3 requests on ${connections} connections; page ${page}`,
    );
  }
  t.matchSnapshot(seen, 'what the clients make of it');
});

const CALLS: Record<string, ClusterCall> = {
  idempotent: { pathAndQuery: '/boards/1' },
  'at most once': { method: 'POST', pathAndQuery: '/entries', body: '1-0' },
};

// Guards against a daemon of an earlier build whose target's status is passed on to callers.
void t.test('a status out of range in the answer of a peer is no answer', async (t) => {
  const seen: string[] = [];
  for (const [name, call] of Object.entries(CALLS)) {
    for (const status of [0, 99, 199, 600]) {
      const cluster = await InProcessCluster.start({
        configuration: makeExampleConfiguration(),
        instances: ['centro-a', 'norte-a', 'norte-b'].flatMap((failureDomain) =>
          ['boards', 'results'].map((pool) => ({ pool, failureDomain })),
        ),
      });
      let changed = 0;
      cluster.network.filter = ({ frame }) => {
        const isFirst = frame.kind === FrameKind.Answer && changed === 0;
        if (!isFirst) return [{ frame, delayMs: 0 }];
        changed += 1;
        const answer: AnswerFrame = { ...frame, status };
        return [{ frame: answer, delayMs: 0 }];
      };
      // The first call may run at the entry's own target, which no frame reaches.
      const entry = name === 'idempotent' ? 'results-norte-a' : 'boards-norte-a';
      const result = await cluster.callToCompletion(entry, call);
      const runs = cluster.runs.get(call.pathAndQuery) ?? 0;
      const { outcome, text } = result;
      seen.push(`${name}, ${status}: ${outcome} ${result.status ?? text}, runs=${runs}`);
    }
  }
  t.matchSnapshot(seen, 'what callers get');
});
