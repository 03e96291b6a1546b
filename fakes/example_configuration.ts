import type { ConfigurationDocument } from '../configuration/mod.ts';
import { configurationSchema } from '../configuration/mod.ts';

/** Options of {@linkcode makeExampleConfiguration}. */
export interface ExampleConfigurationOptions {
  version?: number;
  /** Failure domains that are out of service. */
  outDomains?: readonly string[];
}

/** Failure domains of the example configuration: two in each of two regions. */
export const EXAMPLE_DOMAINS = ['centro-a', 'centro-b', 'norte-a', 'norte-b'] as const;

/**
 * Creates an example configuration.
 *
 * @param options See {@linkcode ExampleConfigurationOptions}.
 * @returns A small configuration: the pools `boards` and `results`, and two workspaces, one of
 * them with home regions.
 */
export function makeExampleConfiguration({
  version = 1,
  outDomains: out = [],
}: ExampleConfigurationOptions = {}): ConfigurationDocument {
  const failureDomains = EXAMPLE_DOMAINS.map((name) => ({
    name,
    region: `ar-${name.split('-')[0] ?? ''}`,
    state: out.includes(name) ? 'out' : 'in',
  }));
  const board = { workspace: 'plata', methods: ['GET', 'PUT'], pool: 'boards', idempotent: true };
  const result = { methods: ['POST'], path: '/results', pool: 'results', idempotent: false };
  return configurationSchema.parse({
    version,
    failureDomains,
    workspaces: [{ name: 'plata' }, { name: 'norte-club', homeRegions: ['ar-norte'] }],
    pools: ['boards', 'results'].map((name) => ({
      name,
      slots: 6,
      queueLength: 8,
      queueWaitMs: 1_000,
    })),
    routes: [
      { ...board, name: 'read-board', path: '/boards' },
      { ...board, name: 'read-hall', path: '/halls', quarantine: true },
      { ...result, name: 'post-result', workspace: 'plata' },
      { ...result, name: 'post-norte-result', workspace: 'norte-club' },
      { ...result, name: 'post-entry', path: '/entries', workspace: 'plata', issuedKeys: false },
    ],
  });
}

/**
 * Lists instances of one pool in all failure domains of the example configuration.
 *
 * @param perDomain Number of instances in each failure domain.
 * @returns The instances, named by pool, failure domain and number.
 */
export function makeExampleInstances(
  perDomain: number,
): { id: string; pool: string; failureDomain: string }[] {
  return EXAMPLE_DOMAINS.flatMap((failureDomain) =>
    Array.from({ length: perDomain }, (_, index) => ({
      id: `boards-${failureDomain}-${index}`,
      pool: 'boards',
      failureDomain,
    })),
  );
}
