/**
 * A planned stop of a daemon, for which SIGTERM comes twice.
 *
 * @module
 */
import { Agent } from 'node:http';
import {
  GRACE_MS,
  HAS_DISRUPTION,
  Journal,
  runCase,
  sleep,
  STABLE_WINDOW_MS,
} from '../shared-3/cluster.ts';
import type { BackendRequest, Cluster, ClusterOptions } from '../shared-3/cluster.ts';
import { describe, send } from '../shared-3/client.ts';

const WORK_MS = 600;
const BETWEEN_REQUESTS_MS = 50;
/** Requests sent before the signal. */
const REQUESTS = 30;
/** Time between the two signals. */
const BETWEEN_SIGNALS_MS = 200;
const DEADLINE_MS = 3_000;

const journal = new Journal();
const passedOn = new Set<string>();
let lost = 0;

function onRequest({ req, res, backend, id }: BackendRequest): void {
  passedOn.add(id);
  journal.write(`backend ${backend.host} runs ${id}`);
  req.resume();
  void sleep(WORK_MS).then(() => {
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
      timeout: '3s',
      target_latency: '2s',
      max_attempts: 2,
    },
  ],
  slots: 12,
  network: 44,
  onRequest,
};

async function play({ daemons }: Cluster): Promise<boolean> {
  const entry = daemons[2];
  if (!entry) throw new Error('no daemons');
  const agent = new Agent({ keepAlive: true });
  await sleep(STABLE_WINDOW_MS + 500);
  const pending: Promise<void>[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `result-${index}`;
    const request = { daemon: entry, id, path: '/result/7', deadlineMs: DEADLINE_MS, agent };
    const answer = send({ ...request, method: 'GET' }).then((received) => {
      journal.write(`client at ${entry.host} has the answer of ${id}: ${describe(received)}`);
      if (received.error !== undefined && passedOn.has(id)) lost += 1;
    });
    pending.push(answer);
    await sleep(BETWEEN_REQUESTS_MS);
  }
  journal.write(`SIGTERM to ${entry.host}`);
  entry.signal('SIGTERM');
  await sleep(BETWEEN_SIGNALS_MS);
  if (HAS_DISRUPTION) {
    journal.write(`SIGTERM to ${entry.host} again`);
    entry.signal('SIGTERM');
  }
  await Promise.all(pending);
  await entry.waitForExit(GRACE_MS);
  agent.destroy();
  journal.write(`requests passed on whose connection ended without an answer, count: ${lost}`);
  return lost === 0;
}

await runCase(options, play, journal);
