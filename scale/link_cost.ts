import { readUsage } from '../bench/child_program.ts';
import { Deployment } from '../demo/deployment.ts';
import type { AttemptPort } from '../contract/mod.ts';
import { MemoryLog } from '../event_log/mod.ts';
import {
  FrameKind,
  LinkTable,
  PROTOCOL_VERSION,
  PeerServer,
  WsDialer,
  type FrameChannel,
} from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { makeFleetConfiguration } from './fleet_configuration.ts';

const SETTLE_MS = 10_000;
const IDLE_MS = 10_000;
const HEAP_SETTLE_MS = 500;
const PING_PERIOD_MS = 5_000;

/** Cost of one daemon process with a number of idle links. */
export interface LinkCost {
  links: number;
  residentBytes: number;
  /** Processor time per second, in milliseconds. */
  cpuMsPerSecond: number;
}

/**
 * Opens idle links to one daemon process and measures what the process uses.
 *
 * @param links Number of links.
 * @param timer Timer for pings and waits.
 * @returns Memory and processor time of the process.
 */
export async function measureLinkCost(links: number, timer: TimerService): Promise<LinkCost> {
  const deployment = await Deployment.start({
    configuration: JSON.stringify(makeFleetConfiguration(1, { version: 1 })),
    instances: [{ pool: 'service-0', failureDomain: 'east-a' }],
  });
  const [member] = deployment.members;
  if (!member) throw new Error('expected one daemon, got none');
  const channels = await openLinks(member.instance.peerAddress, links);
  const pings = timer.every(PING_PERIOD_MS, () => {
    for (const channel of channels) channel.send({ kind: FrameKind.Ping });
  });
  await sleep(timer, SETTLE_MS);
  const before = readUsage(member.process);
  await sleep(timer, IDLE_MS);
  const after = readUsage(member.process);
  pings.cancel();
  for (const channel of channels) channel.terminate();
  await deployment.stop();
  const cpuMsPerSecond = ((after.cpuMs - before.cpuMs) * 1_000) / IDLE_MS;
  return { links, residentBytes: after.residentBytes, cpuMsPerSecond };
}

/** Memory of a number of links in one process. */
export interface LinkHeap {
  links: number;
  /** Memory of live objects and of buffers after garbage collection, in bytes. */
  heapBytes: number;
}

/**
 * Opens idle links within this process and measures the memory of one end.
 *
 * @param links Number of links.
 * @param timer Timer of the links and for waits.
 * @returns Memory of the links.
 */
export async function measureLinkHeap(links: number, timer: TimerService): Promise<LinkHeap> {
  const tables = [makeLinkTable('a', timer), makeLinkTable('b', timer)] as const;
  const listenResult = await PeerServer.listen({
    host: '127.0.0.1',
    port: 0,
    serve: (channel) => tables[1].accept(channel),
  });
  if (listenResult.isErr()) throw new Error(listenResult.error.detail);
  const server = listenResult.value;
  const before = measureUsedMemory();
  for (let index = 0; index < links; index += 1) {
    const dialResult = await new WsDialer().dial(`127.0.0.1:${server.port}`);
    if (dialResult.isErr()) throw new Error(dialResult.error.detail);
    void tables[0].accept(dialResult.value);
  }
  await sleep(timer, HEAP_SETTLE_MS);
  const linkEnds = tables.reduce((sum, table) => sum + table.links.length, 0);
  const heapBytes = (measureUsedMemory() - before) * (linkEnds > 0 ? links / linkEnds : 0);
  for (const table of tables) table.terminateAll();
  server.close();
  return { links, heapBytes };
}

function makeLinkTable(instanceId: string, timer: TimerService): LinkTable {
  const guard: AttemptPort = {
    send: () => Promise.reject(new Error('expected no attempt')),
    settle: () => Promise.reject(new Error('expected no settlement')),
  };
  return new LinkTable({
    instanceId,
    incarnation: instanceId,
    failureDomain: 'east-a',
    dialer: new WsDialer(),
    onOpen: () => undefined,
    services: {
      timer,
      log: new MemoryLog(1),
      guard,
      runOwnedCall: () => Promise.reject(new Error('expected no call')),
      findRoute: () => {
        throw new Error('expected no attempt');
      },
      findRouteAfterCatchUp: () => Promise.reject(new Error('expected no attempt')),
      getVersion: () => 0,
      onControlFrame: () => undefined,
      onPeerVersion: () => undefined,
    },
  });
}

function measureUsedMemory(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

async function openLinks(address: string, links: number): Promise<FrameChannel[]> {
  const dialer = new WsDialer();
  const channels: FrameChannel[] = [];
  for (let index = 0; index < links; index += 1) {
    const dialResult = await dialer.dial(address);
    if (dialResult.isErr()) throw new Error(dialResult.error.detail);
    dialResult.value.send({
      kind: FrameKind.Hello,
      protocol: PROTOCOL_VERSION,
      instanceId: `peer-${index}`,
      incarnation: `run-${index}`,
      failureDomain: 'east-b',
    });
    channels.push(dialResult.value);
  }
  return channels;
}
