/* eslint-disable no-restricted-globals */
// Run by run.sh, which writes record.txt; TROUBLE=0 leaves the garbled answer out.
import { Agent } from 'node:http';
import { Deployment, now, sleep, type BackendRun, type RouteSpec } from '../shared-2/deployment.ts';
import { send, type ClientResult } from '../shared-2/client.ts';
import { runCase, Verdict } from '../shared-2/run_case.ts';

const TIMEOUT_MS = 1_500;
const DEADLINE_MS = 2_500;
/** Time after a route's timeout by which a request has its final answer, in milliseconds. */
const FINAL_ANSWER_MS = 500;
const LATE_LIMIT = 8;
const RUN_MS = 14_000;
const GARBLED_AT_MS = 4_000;
const HISTORY_INTERVAL_MS = 25;
const VIEW_INTERVAL_MS = 100;
const WORK_MS = 20;
const SETTLE_MS = 5_000;

const ROUTES: readonly RouteSpec[] = [
  { name: 'view', prefix: '/view/', kind: 'safe', service: 'boards', timeout: '1200ms' },
  { name: 'history', prefix: '/history/', kind: 'safe', service: 'ratings', timeout: '1500ms' },
];

await runCase(async (record, isDisrupted) => {
  const state = { isGarbleDue: false, garbled: 0, runs: 0 };
  const serve = ({ machine, req, res }: BackendRun) => {
    req.resume();
    state.runs += 1;
    if (state.isGarbleDue && machine.service === 'boards') {
      state.isGarbleDue = false;
      state.garbled += 1;
      // Bytes that are not a response.
      req.socket.write('HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n');
      return;
    }
    machine.running += 1;
    setTimeout(() => {
      machine.running -= 1;
      res.end('complete');
    }, WORK_MS);
  };
  const deployment = await Deployment.start({
    machines: [
      { service: 'boards', zone: 'centro-a' },
      { service: 'ratings', zone: 'centro-a' },
      { service: 'ratings', zone: 'norte-a' },
    ],
    routes: ROUTES,
    handler: serve,
  });
  const [machine] = deployment.machines;
  if (!machine) return Verdict.CouldNotRun;
  await sleep(SETTLE_MS);

  const startMs = now();
  const histories: Promise<ClientResult>[] = [];
  const views: Promise<ClientResult>[] = [];
  const agents = { history: new Agent({ keepAlive: true }), view: new Agent({ keepAlive: true }) };
  // After two misses, the machine's clients get no new work until the daemon answers with 200 again.
  const readiness = { misses: 0, missed: 0 };
  const mayHaveWork = () => readiness.misses < 2;
  const sendHistories = async () => {
    for (let count = 0; now() - startMs < RUN_MS; count += 1) {
      const path = `/history/${count}`;
      const common = { id: `h${count}`, method: 'GET' as const, agent: agents.history };
      if (mayHaveWork())
        histories.push(send(deployment, machine, { ...common, path, deadlineMs: DEADLINE_MS }));
      await sleep(HISTORY_INTERVAL_MS);
    }
  };
  const sendViews = async () => {
    for (let count = 0; now() - startMs < RUN_MS; count += 1) {
      const common = { id: `v${count}`, method: 'GET' as const, agent: agents.view };
      const path = `/view/${count}`;
      if (mayHaveWork())
        views.push(send(deployment, machine, { ...common, path, deadlineMs: 1_200 }));
      await sleep(VIEW_INTERVAL_MS);
    }
  };
  const checkOnce = async () => {
    const askedMs = now();
    const isReady = await deployment.isReady(machine);
    readiness.misses = isReady ? 0 : readiness.misses + 1;
    if (isReady) return;
    readiness.missed += 1;
    record.write(`${Math.round(askedMs - startMs)} ms: no 200 to the readiness check`);
  };
  const checkReadiness = async () => {
    while (now() - startMs < RUN_MS) {
      void checkOnce();
      await sleep(1_000);
    }
  };
  const garble = async () => {
    await sleep(GARBLED_AT_MS);
    state.isGarbleDue = isDisrupted;
  };
  await Promise.all([sendHistories(), sendViews(), checkReadiness(), garble()]);
  const results = await Promise.all(histories);
  await Promise.all(views);
  const pauses = deployment.readLog(machine).filter((line) => line.includes('event=daemon-paused'));
  await deployment.close();

  const unansweredAtTimeout = results.filter(({ elapsedMs }) => elapsedMs > TIMEOUT_MS);
  const late = unansweredAtTimeout.filter(
    ({ elapsedMs, hasGivenUp }) => hasGivenUp || elapsedMs > TIMEOUT_MS + FINAL_ANSWER_MS,
  );
  record.write(`sent: ${results.length} history, ${views.length} view; run: ${state.runs}`);
  record.write(`garbled answers: ${state.garbled}`);
  record.write(`answered 200: ${results.filter(({ status }) => status === 200).length} history`);
  record.write(`unanswered at their route's timeout: ${unansweredAtTimeout.length}`);
  record.write(`of these without a final answer ${FINAL_ANSWER_MS} ms later: ${late.length}`);
  record.write(`readiness checks without a 200: ${readiness.missed}`);
  for (const line of pauses) record.write(`daemon's log: ${line.replace(/^time=\S+ /, '')}`);
  for (const exit of deployment.unexpectedExits) record.write(`unexpected exit: ${exit}`);
  const isBroken = late.length >= LATE_LIMIT && late.length * 2 > unansweredAtTimeout.length;
  return isBroken ? Verdict.Broken : Verdict.Held;
});
