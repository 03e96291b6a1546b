import { configurationSchema, type ConfigurationDocument } from '../configuration/mod.ts';

/** Failure domains of the fleet that the design must support: seven in two regions. */
export const FLEET_DOMAINS = ['east-a', 'east-b', 'east-c', 'east-d', 'west-a', 'west-b', 'west-c'];
/** Mean number of targets of a service in that fleet: 1,800 targets of 310 services. */
export const TARGETS_PER_SERVICE = 1_800 / 310;

/** Values that differ between versions of the configuration. */
export interface ConfigurationVariant {
  version: number;
  /** Timeout of the first route, in milliseconds. */
  timeoutMs?: number;
}

/**
 * Makes a configuration with a number of services.
 *
 * @param services Number of services; each has one pool and one route.
 * @param variant Values of this version.
 * @returns The configuration.
 */
export function makeFleetConfiguration(
  services: number,
  variant: ConfigurationVariant,
): ConfigurationDocument {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`);
  return configurationSchema.parse({
    version: variant.version,
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
      timeoutMs: index === 0 ? (variant.timeoutMs ?? 1_000) : 1_000,
    })),
  });
}
