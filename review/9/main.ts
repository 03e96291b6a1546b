/* eslint-disable no-restricted-globals, no-restricted-properties */
// Run by run.sh, which writes record.txt; with TROUBLE=0, the other writer writes no entries.
import { Agent } from 'node:http';
import {
  Deployment,
  ZONES,
  now,
  sleep,
  type BackendRun,
  type RouteSpec,
} from '../shared-2/deployment.ts';
import { send } from '../shared-2/client.ts';
import { runCase, Verdict } from '../shared-2/run_case.ts';

/** Time after the acknowledgement of a configuration by which it is in force, in milliseconds. */
const CONFIG_MS = 2_500;
const DEADLINE_MS = 1_200;
/** Entries of the other writer in each zone. */
const FOREIGN_ENTRIES = 4;
/** The watchers of a zone are chosen by a hash of the addresses, so these are fixed. */
const NETWORK = 101;
const MOVES = 6;
const MOVE_INTERVAL_MS = 9_000;
const REQUEST_INTERVAL_MS = 80;
const SETTLE_MS = 8_000;
const WORK_MS = 10;

function makeRoutes(service: string): RouteSpec[] {
  return [{ name: 'view', prefix: '/view/', kind: 'safe', service, timeout: '1200ms' }];
}

/** Writes entries whose service no configuration names, as another writer may. */
function writeForeignEntries({ store }: Deployment): void {
  for (const [index, zone] of Object.keys(ZONES).entries()) {
    for (let count = 1; count <= FOREIGN_ENTRIES; count += 1) {
      store.put(`servers/archive-${zone}-${count}`, {
        service: 'archive',
        address: `127.${NETWORK}.${index + 1}.${count}:9000`,
        zone,
        version: 'v1',
        slots: 4,
        state: 'ready',
        cold_remaining: '0ms',
        sequence: 1,
        born: Date.now(),
      });
    }
  }
}

await runCase(async (record, isDisrupted) => {
  const serviceOfRun = new Map<string, string>();
  const serve = ({ machine, id, req, res }: BackendRun) => {
    req.resume();
    serviceOfRun.set(id, machine.service);
    machine.running += 1;
    setTimeout(() => {
      machine.running -= 1;
      res.end('complete');
    }, WORK_MS);
  };
  const services = ['boards', 'results'];
  const deployment = await Deployment.start({
    network: NETWORK,
    machines: Object.keys(ZONES).flatMap((zone) => services.map((service) => ({ service, zone }))),
    routes: makeRoutes('boards'),
    handler: serve,
    prepare: (prepared) => {
      if (isDisrupted) writeForeignEntries(prepared);
    },
  });
  record.write(`entries of another writer: ${isDisrupted ? FOREIGN_ENTRIES : 0} in each zone`);
  await sleep(SETTLE_MS);

  const agent = new Agent({ keepAlive: true });
  const total = { sent: 0, answered: 0, late: 0 };
  for (let move = 0; move < MOVES; move += 1) {
    const [from = '', to = ''] = move % 2 === 0 ? services : [...services].reverse();
    deployment.publish(makeRoutes(to));
    const acknowledgedMs = now();
    const machinesWithLate = new Set<string>();
    const outdated = { late: 0, lastMs: 0 };
    const callFrom = async (machine: Deployment['machines'][number]) => {
      for (let count = 0; now() - acknowledgedMs < MOVE_INTERVAL_MS; count += 1) {
        const id = `m${move}-${machine.backendId}-${count}`;
        const path = `/view/${id}`;
        const common = { id, path, method: 'GET' as const, agent, deadlineMs: DEADLINE_MS };
        const { status, sentAtMs } = await send(deployment, machine, common);
        total.sent += 1;
        if (status === 200) total.answered += 1;
        const sentMs = sentAtMs - acknowledgedMs;
        if (serviceOfRun.get(id) === from) {
          outdated.lastMs = Math.max(outdated.lastMs, sentMs);
          if (sentMs > CONFIG_MS) {
            outdated.late += 1;
            machinesWithLate.add(machine.ip);
          }
        }
        await sleep(REQUEST_INTERVAL_MS);
      }
    };
    await Promise.all(deployment.machines.map(callFrom));
    total.late += outdated.late;
    record.write(
      `route moved from ${from} to ${to}: last run by ${from} was sent ` +
        `${Math.round(outdated.lastMs)} ms after the acknowledgement; ` +
        `${outdated.late} sent later than ${CONFIG_MS} ms, at ${machinesWithLate.size} machines`,
    );
  }
  await deployment.close();
  for (const exit of deployment.unexpectedExits) record.write(`unexpected exit: ${exit}`);
  record.write(`sent: ${total.sent}, answered 200: ${total.answered}`);
  record.write(`run by the old service although sent too late for it: ${total.late}`);
  if (total.answered === 0) return Verdict.CouldNotRun;
  return total.late > 0 ? Verdict.Broken : Verdict.Held;
});
