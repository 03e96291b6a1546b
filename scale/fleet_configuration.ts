import { configurationSchema, type ConfigurationDocument } from '../configuration/mod.ts';

/** Failure domains of the size aimed at: seven in two regions. */
export const FLEET_DOMAINS = ['east-a', 'east-b', 'east-c', 'east-d', 'west-a', 'west-b', 'west-c'];
/** Targets for each service at the size aimed at: 1,800 in 310. */
export const TARGETS_PER_SERVICE = 1_800 / 310;

/** One change of the operators. */
export interface ConfigurationVariant {
  version: number;
  /** Timeout of the first route, which each change sets anew. */
  timeoutMs?: number;
}

/**
 * @param services Number of services; each is one pool with one route.
 * @param change What tells this version from others.
 * @returns A configuration of that size.
 */
export function makeFleetConfiguration(
  services: number,
  change: ConfigurationVariant,
): ConfigurationDocument {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`);
  return configurationSchema.parse({
    version: change.version,
    failureDomains: FLEET_DOMAINS.map((name) => ({ name, region: name.split('-')[0] })),
    workspaces: [{ name: 'main' }],
    pools: names.map((name) => ({ name, slots: 6 })),
    routes: names.map((name, index) => ({
      name: `read-${name}`,
      workspace: 'main',
      methods: ['GET'],
      path: `/${name}`,
      pool: name,
      idempotent: true,
      timeoutMs: index === 0 ? (change.timeoutMs ?? 1_000) : 1_000,
    })),
  });
}
