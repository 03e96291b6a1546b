/* eslint-disable no-restricted-properties, no-restricted-syntax */
/**
 * A daemon whose backend has ended passes requests on to the backend of another service that has got the
 * address since.
 *
 * @module
 */
import type { RequestListener } from 'node:http';
import { makeSoundBackend } from '../common/backend.js';
import { send } from '../common/client.js';
import { COLD_START_MS, Deployment, SLOTS, type RouteSpec } from '../common/deployment.js';
import { sleep } from '../common/machine.js';
import { runCase, type Verdict } from '../common/run_case.js';

/** Times after the end of the backend, in milliseconds. */
const SIGTERM_AT_MS = 1_000;
const STORE_DOWN_AT_MS = 1_500;
/** The site's `reuse_after` is 2 s. */
const REUSED_AT_MS = 2_100;
/** Three heartbeats of 1.5 s after its last one, the entry of the ended backend is removed. */
const REMOVED_AT_MS = 4_500;
const STORE_UP_AT_MS = 6_000;
const END_AT_MS = 8_000;
const BEFORE_MS = 1_000;
const REQUEST_INTERVAL_MS = 40;
const DEADLINE_MS = 1_500;
const WORK_MS = 30;
const BODY = Buffer.alloc(4_000, 'r');
const SERVICES = ['results', 'results', 'results', 'boards', 'boards', 'boards'];
const ZONES = ['centro-a', 'norte-a', 'sur-a'];
const NEW_ID = 'i-9';
const ROUTES: readonly RouteSpec[] = [
  { name: 'r-1', prefix: '/puka/', service: 'results' },
  { name: 'r-2', prefix: '/leny/', service: 'boards' },
].map((route) => ({
  ...route,
  kind: 'unsafe',
  timeout: `${DEADLINE_MS}ms`,
  target_latency: '600ms',
  max_attempts: 2,
}));

await runCase('review/1', async (isDisrupted): Promise<Verdict> => {
  const runs: { id: string; service: string; path: string }[] = [];
  const makeBackend = (id: string, service: string, coldUntilMs?: number): RequestListener =>
    makeSoundBackend({
      id,
      ...(coldUntilMs !== undefined && { coldUntilMs }),
      getWorkMs: () => WORK_MS,
      onRun: ({ path, requestId }) => {
        runs.push({ id: requestId, service, path });
        deployment.note(`${requestId} (${path}) begins to run at backend ${id} of ${service}`);
      },
    });
  const deployment = await Deployment.start({
    routes: ROUTES,
    machines: SERVICES.map((service, index) => ({ service, zone: ZONES[index % 3] ?? '' })),
    makeBackend: (id) => makeBackend(id, SERVICES[Number(id.slice(2)) - 1] ?? ''),
  });
  const traffic = startTraffic(deployment);
  try {
    await sleep(BEFORE_MS);
    if (isDisrupted) {
      await replaceBackend(deployment, (bornMs) =>
        makeBackend(NEW_ID, 'boards', bornMs + COLD_START_MS),
      );
    } else await sleep(END_AT_MS);
    await traffic.stop();
    const wrong = runs.filter(({ path, service }) => path === '/puka/2f' && service !== 'results');
    const right = runs.filter(({ path, service }) => path === '/puka/2f' && service === 'results');
    const summary =
      `${right.length} requests for results were run by results, ` +
      `${wrong.length} by a backend of boards, to which no configuration sends them`;
    return { isBroken: wrong.length > 0, summary, hasRun: right.length > 0 };
  } finally {
    await deployment.close();
  }
});

/** Sends requests for `results` at a constant rate on each of its machines. */
function startTraffic(deployment: Deployment): { stop: () => Promise<void> } {
  const state = { isStopped: false };
  const pending: Promise<void>[] = [];
  const sendOne = async (index: number) => {
    const machine = deployment.machines[index % ZONES.length];
    if (!machine) return;
    const id = `q${index}`;
    const req = {
      id,
      method: 'POST',
      path: '/puka/2f',
      deadlineMs: DEADLINE_MS,
      body: BODY,
    } as const;
    const { status, sentAtMs } = await send(machine, req);
    deployment.noteAt(sentAtMs, `${id} sent at machine ${machine.options.number}: ${status}`);
  };
  const run = async () => {
    for (let index = 0; !state.isStopped; index += 1) {
      pending.push(sendOne(index));
      if (index % ZONES.length === 0) await sleep(REQUEST_INTERVAL_MS);
    }
  };
  const running = run();
  return {
    stop: async () => {
      state.isStopped = true;
      await running;
      await Promise.all(pending);
    },
  };
}

/** Ends the backend of the first machine, and has another service use its address while the store is down. */
async function replaceBackend(
  deployment: Deployment,
  makeNewBackend: (bornMs: number) => RequestListener,
): Promise<void> {
  const [machine] = deployment.machines;
  const { store } = deployment;
  if (!machine) return;
  const endedAtMs = Date.now();
  const until = (ms: number) => sleep(Math.max(0, endedAtMs + ms - Date.now()));
  await machine.stopBackend();
  deployment.note('the backend of machine 1 has ended for good, without a notice');
  await until(SIGTERM_AT_MS);
  machine.signal('SIGTERM');
  deployment.note('SIGTERM to the daemon of machine 1');
  void machine.exited.then((how) => {
    deployment.note(`the daemon of machine 1 has ended: ${how}`);
  });
  await until(STORE_DOWN_AT_MS);
  store.rejectMachines(deployment.machines.map(({ options }) => options.number));
  deployment.note('the store is down');
  await until(REUSED_AT_MS);
  const bornMs = Date.now();
  await machine.startBackend(makeNewBackend(bornMs));
  deployment.note(`backend ${NEW_ID} of boards has the address now`);
  await until(REMOVED_AT_MS);
  store.remove('servers/i-1');
  await until(STORE_UP_AT_MS);
  store.rejectMachines([]);
  store.put(`servers/${NEW_ID}`, {
    service: 'boards',
    address: `${machine.ip}:${machine.options.ports.app}`,
    zone: machine.options.zone,
    version: 'v1',
    slots: SLOTS,
    state: 'ready',
    cold_remaining: '0ms',
    sequence: 2,
    born: bornMs,
  });
  deployment.note(`the store is back, and ${NEW_ID} is in it`);
  await until(END_AT_MS);
}
