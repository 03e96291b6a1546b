import { JsoncDocument } from '../finding/mod.ts';
import { InstanceStage, type Instance } from '../instance/mod.ts';
import {
  Configuration,
  DocumentKind,
  DocumentStore,
  toFleetDocument,
} from '../configuration/mod.ts';
import { FLEET_DOMAINS, makeFleetConfiguration } from './fleet_configuration.ts';

const ROUNDS = 12;
/** Stores whose memory is measured together. */
const HEAP_STORES = 8;
const MICROSECONDS_PER_MS = 1_000;

/** Cost of taking one version into force, at one size. */
export interface ApplyCost {
  size: number;
  /** Processor time of one new version, in milliseconds. */
  cpuMs: number;
  /** Memory held for the documents, in bytes. */
  heapBytes: number;
}

/**
 * @param services Number of services in the configuration.
 * @returns Cost of applying a patch to it.
 */
export function measureConfigurationCost(services: number): ApplyCost {
  return measure(services, DocumentKind.Configuration, (version) =>
    JSON.stringify(makeFleetConfiguration(services, { version, timeoutMs: 1_000 + version })),
  );
}

/**
 * @param instances Number of instances in the list.
 * @returns Cost of applying a patch to it.
 */
export function measureFleetCost(instances: number): ApplyCost {
  return measure(instances, DocumentKind.Fleet, (version) =>
    JSON.stringify(toFleetDocument(version, listOf(instances, version))),
  );
}

function measure(size: number, kind: DocumentKind, textOf: (version: number) => string): ApplyCost {
  const texts = Array.from({ length: ROUNDS + 3 }, (_, index) => textOf(index + 1));
  const heapBefore = usedHeap();
  const kept: unknown[] = [];
  const source = newStore(kept);
  const follower = newStore(kept);
  offer(source, kind, 1, texts[0]);
  offer(follower, kind, 1, texts[0]);
  const others = Array.from({ length: HEAP_STORES - 2 }, () => newStore(kept));
  for (const each of others) offer(each, kind, 1, texts[0]);
  const heapBytes = (usedHeap() - heapBefore) / HEAP_STORES;
  const costs = texts.slice(1).map((text, index) => {
    const version = index + 2;
    offer(source, kind, version, text);
    const update = source.updateFor(kind, version - 1);
    const startCpu = process.cpuUsage();
    if (update) follower.offer(update);
    kept.length = 0;
    const { user, system } = process.cpuUsage(startCpu);
    return (user + system) / MICROSECONDS_PER_MS;
  });
  if (others.length === 0) throw new Error('expected other stores, got none');
  const settled = costs.slice(2).sort((a, b) => a - b);
  return { size, cpuMs: settled[Math.floor(settled.length / 2)] ?? 0, heapBytes };
}

function newStore(kept: unknown[]): DocumentStore {
  const keep = (each: unknown) => {
    kept.push(each);
  };
  return new DocumentStore({ onConfiguration: keep, onFleet: keep });
}

function offer(store: DocumentStore, kind: DocumentKind, version: number, text = ''): void {
  store.offer({ document: kind, version, base: 0, baseDigest: '', text });
}

function usedHeap(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function listOf(count: number, version: number): Instance[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `instance-${index}`,
    pool: `service-${index % 310}`,
    failureDomain: FLEET_DOMAINS[index % FLEET_DOMAINS.length] ?? '',
    peerAddress: `10.0.${index % 250}.${Math.floor(index / 250)}:7080`,
    callerAddress: `10.0.${index % 250}.${Math.floor(index / 250)}:${index === 0 ? 8_000 + version : 8_080}`,
    stage: InstanceStage.Live,
  }));
}

/** Checked once, so that a wrong example cannot be measured. */
export function isFleetConfigurationValid(): boolean {
  const text = JSON.stringify(makeFleetConfiguration(3, { version: 1 }));
  return Configuration.parse(new JsoncDocument('example', text)).isOk();
}
