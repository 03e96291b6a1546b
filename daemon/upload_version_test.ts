import t from 'tap';
import { ok } from 'neverthrow';
import type { BodyChunk } from '../contract/mod.ts';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import type { ConfigurationDocument } from '../configuration/mod.ts';
import { sleep } from '../timer/mod.ts';

const ENTRY_ID = 'halls-centro-a';
const CHUNK_BYTES = 16_384;
const CHUNKS = 12;
/** Delay of documents to the entry, in milliseconds; its peers get them earlier. */
const DOCUMENT_DELAY_MS = 300;
/** Intervals between the chunks of an upload, in milliseconds; around the delay to the guard. */
const GAPS_MS = [10, 15, 20, 25, 30, 40, 60];

function makeConfiguration(
  version: number,
  pool: string,
  limit = 1_000_000,
): ConfigurationDocument {
  const example = makeExampleConfiguration({ version });
  const [first] = example.pools;
  const pools = ['boards', 'results', 'halls'].map((name) => ({ ...first, name }));
  const routes = example.routes.map((route) => ({ ...route, pool, bodyLimitBytes: limit }));
  return { ...example, pools, routes } as ConfigurationDocument;
}

async function startCluster(configuration: ConfigurationDocument): Promise<InProcessCluster> {
  const watchers = ['halls', 'halls-2', 'halls-3', 'halls-4'].map((id) => ({
    id: `${id}-centro-a`,
    pool: 'halls',
    failureDomain: 'centro-a',
  }));
  const targets = ['boards', 'results'].map((pool) => ({ pool, failureDomain: 'norte-a' }));
  const cluster = await InProcessCluster.start({
    configuration,
    instances: [...watchers, ...targets],
    delayMs: (from, to) => (from === to ? 1 : 20),
  });
  const { instance } = cluster.member(ENTRY_ID);
  cluster.network.filter = ({ frame, to }) => {
    const isDelayed = frame.kind === FrameKind.Document && to === instance.peerAddress;
    return [{ frame, delayMs: isDelayed ? DOCUMENT_DELAY_MS : 0 }];
  };
  return cluster;
}

void t.test(
  'an upload is not refused as truncated when its route moves while its start is still buffered',
  async (t) => {
    const seen: string[] = [];
    for (const gapMs of GAPS_MS) {
      const cluster = await startCluster(makeConfiguration(1, 'boards'));
      // Opens the link to the guard.
      await cluster.callToCompletion(ENTRY_ID, { pathAndQuery: '/boards/0' });
      cluster.platform.publish(makeConfiguration(2, 'results'));
      await cluster.timer.advance(20);
      const upload = async function* (): AsyncGenerator<BodyChunk> {
        for (let index = 0; index < CHUNKS; index += 1) {
          await sleep(cluster.timer, gapMs);
          yield ok(new Uint8Array(CHUNK_BYTES));
        }
      };
      const caller = new AbortController();
      const reply = cluster.member(ENTRY_ID).daemon.serve({
        callId: undefined,
        workspace: 'plata',
        host: 'localhost',
        method: 'POST',
        pathAndQuery: '/entries',
        headers: [],
        contentLength: CHUNK_BYTES * CHUNKS,
        body: upload(),
        deadline: '1900',
        depth: undefined,
        key: undefined,
        signal: caller.signal,
        cancel: () => {
          caller.abort();
        },
      });
      const { result } = await cluster.advanceUntil(reply);
      const end = result.match(
        ({ status }) => String(status),
        ({ reason, outcome }) => `${reason} ${outcome}`,
      );
      seen.push(`${gapMs} ms: ${end}`);
    }
    t.matchSnapshot(seen, 'results by chunk interval');
  },
);

void t.test(
  'an entry waits for a newer version before it refuses a body as too large',
  async (t) => {
    const cluster = await startCluster(makeConfiguration(1, 'boards', 10));
    cluster.platform.publish(makeConfiguration(2, 'boards', 1_000));
    await cluster.timer.advance(100);
    await cluster.callToCompletion(ENTRY_ID, { pathAndQuery: '/boards/0' });
    const { text } = await cluster.callToCompletion(ENTRY_ID, {
      method: 'POST',
      pathAndQuery: '/entries',
      body: 'x'.repeat(100),
      deadlineMs: 1_500,
    });
    t.matchSnapshot(text, 'result');
  },
);
