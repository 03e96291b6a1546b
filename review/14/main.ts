/**
 * Requests whose heads are larger than 16 KiB, which the operator's limit allows.
 *
 * @module
 */
import { HAS_DISRUPTION, Journal, runCase, sleep, STABLE_WINDOW_MS } from '../shared-3/cluster.ts';
import type { BackendRequest, Cluster, ClusterOptions } from '../shared-3/cluster.ts';
import { describe, makeParts, send } from '../shared-3/client.ts';

/** Limit of the operator, from the first configuration on. */
const MAX_HEADER_BYTES = 65_536;
/** One header of about that length, such as a token. */
const HEADER_BYTES = HAS_DISRUPTION ? 24_000 : 12_000;
const REQUESTS = 60;
const BETWEEN_REQUESTS_MS = 200;
const DEADLINE_MS = 1_500;
const ALLOWED_DENIALS = 5;
const ALLOWED_SHARE = 1 / 500;
/** Statuses of the daemon's own that the rule doesn't count. */
const ALLOWED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

const journal = new Journal();
let denied = 0;

function onRequest({ req, res, backend, id }: BackendRequest): void {
  const bytes = String(req.headers['x-token']).length;
  journal.write(`backend ${backend.host} runs ${id}, x-token of ${bytes} bytes`);
  req.resume();
  req.on('end', () => {
    backend.answer(res, `recorded ${id}`);
  });
}

const options: ClusterOptions = {
  services: ['results', 'results', 'boards'],
  routes: [
    {
      name: 'r-result',
      prefix: '/result/',
      kind: 'unsafe',
      service: 'results',
      timeout: '1500ms',
      target_latency: '600ms',
      max_attempts: 2,
    },
  ],
  slots: 6,
  network: 47,
  maxHeaderBytes: MAX_HEADER_BYTES,
  onRequest,
};

async function play({ daemons }: Cluster): Promise<boolean> {
  await sleep(STABLE_WINDOW_MS + 500);
  for (let index = 0; index < REQUESTS; index += 1) {
    const daemon = daemons[index % daemons.length];
    if (!daemon) throw new Error('no daemons');
    const id = `result-${index}`;
    const headers = { 'x-token': 't'.repeat(HEADER_BYTES) };
    const request = { daemon, id, path: '/result/7', deadlineMs: DEADLINE_MS, headers };
    const answer = await send({ ...request, method: 'POST', parts: makeParts(id, 1, 900) });
    journal.write(`client at ${daemon.host} has the answer of ${id}: ${describe(answer)}`);
    // No backend of this case answers with a status of 300 to 499.
    const status = answer.status ?? 0;
    if (status >= 300 && status < 500 && !ALLOWED_STATUSES.has(status)) denied += 1;
    await sleep(BETWEEN_REQUESTS_MS);
  }
  const allowed = ALLOWED_DENIALS + REQUESTS * ALLOWED_SHARE;
  journal.write(
    `proper requests ended with a 4xx of the daemon's own, count ${denied}; allowed ${allowed}`,
  );
  return denied <= allowed;
}

await runCase(options, play, journal);
