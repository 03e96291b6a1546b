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
/** Number of stores whose memory is measured together. */
const MEASURED_STORES = 8;
const MICROSECONDS_PER_MS = 1_000;

/** Cost of applying one version of a document of one size. */
export interface ApplyCost {
  size: number;
  /** Processor time for applying one new version, in milliseconds. */
  cpuMs: number;
  /** Memory that one store holds for the document, in bytes. */
  heapBytes: number;
}

/**
 * Measures the cost of a configuration.
 *
 * @param services Number of services in the configuration.
 * @returns Memory of the configuration and cost of applying a patch to it.
 */
export function measureConfigurationCost(services: number): ApplyCost {
  return measureApplyCost(services, DocumentKind.Configuration, (version) =>
    JSON.stringify(makeFleetConfiguration(services, { version, timeoutMs: 1_000 + version })),
  );
}

/**
 * Measures the cost of an instance list.
 *
 * @param instances Number of instances in the list.
 * @returns Memory of the list and cost of applying a patch to it.
 */
export function measureFleetCost(instances: number): ApplyCost {
  return measureApplyCost(instances, DocumentKind.Fleet, (version) =>
    JSON.stringify(toFleetDocument(version, makeInstances(instances, version))),
  );
}

function measureApplyCost(
  size: number,
  kind: DocumentKind,
  makeText: (version: number) => string,
): ApplyCost {
  const texts = Array.from({ length: ROUNDS + 3 }, (_, index) => makeText(index + 1));
  const heapBefore = measureUsedHeap();
  const retained: unknown[] = [];
  const source = makeStore(retained);
  const follower = makeStore(retained);
  offerDocument(source, kind, 1, texts[0]);
  offerDocument(follower, kind, 1, texts[0]);
  const otherStores = Array.from({ length: MEASURED_STORES - 2 }, () => makeStore(retained));
  for (const each of otherStores) offerDocument(each, kind, 1, texts[0]);
  const heapBytes = (measureUsedHeap() - heapBefore) / MEASURED_STORES;
  const costs = texts.slice(1).map((text, index) => {
    const version = index + 2;
    offerDocument(source, kind, version, text);
    const update = source.updateFor(kind, version - 1);
    const startCpu = process.cpuUsage();
    if (update) follower.offer(update);
    retained.length = 0;
    const { user, system } = process.cpuUsage(startCpu);
    return (user + system) / MICROSECONDS_PER_MS;
  });
  if (otherStores.length === 0) throw new Error('expected other stores, got none');
  const warmCosts = costs.slice(2).sort((a, b) => a - b);
  return { size, cpuMs: warmCosts[Math.floor(warmCosts.length / 2)] ?? 0, heapBytes };
}

function makeStore(retained: unknown[]): DocumentStore {
  const retain = (each: unknown) => {
    retained.push(each);
  };
  return new DocumentStore({ onConfiguration: retain, onFleet: retain });
}

function offerDocument(store: DocumentStore, kind: DocumentKind, version: number, text = ''): void {
  store.offer({ document: kind, version, base: 0, baseDigest: '', text });
}

function measureUsedHeap(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function makeInstances(count: number, version: number): Instance[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `instance-${index}`,
    pool: `service-${index % 310}`,
    failureDomain: FLEET_DOMAINS[index % FLEET_DOMAINS.length] ?? '',
    peerAddress: `10.0.${index % 250}.${Math.floor(index / 250)}:7080`,
    callerAddress: `10.0.${index % 250}.${Math.floor(index / 250)}:${index === 0 ? 8_000 + version : 8_080}`,
    stage: InstanceStage.Live,
  }));
}

/**
 * Checks the configuration that the measurements use, since an invalid one must not be measured.
 *
 * @returns Whether the configuration is valid.
 */
export function isFleetConfigurationValid(): boolean {
  const text = JSON.stringify(makeFleetConfiguration(3, { version: 1 }));
  return Configuration.parse(new JsoncDocument('example', text)).isOk();
}
