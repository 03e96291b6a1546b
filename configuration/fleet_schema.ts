import * as z from 'zod';
import { Fleet, InstanceStage, type Instance } from '../instance/mod.ts';

/** Shape of the platform's instance list: instances by name, so that one change is a small patch. */
export const fleetSchema = z.strictObject({
  version: z.int().min(0),
  instances: z.record(
    z.string().min(1),
    z.strictObject({
      pool: z.string(),
      failureDomain: z.string(),
      peerAddress: z.string(),
      callerAddress: z.string(),
      stage: z.enum(InstanceStage).default(InstanceStage.Live),
      targetId: z.string().optional(),
      slots: z.int().min(1).optional(),
    }),
  ),
});

/** An instance list that has the right shape. */
export type FleetDocument = z.infer<typeof fleetSchema>;

/**
 * @param document A checked instance list.
 * @returns The fleet that it names.
 */
export function toFleet(document: FleetDocument): Fleet {
  const instances = Object.entries(document.instances).map(([id, each]) => ({ id, ...each }));
  return new Fleet(document.version, instances);
}

/**
 * @param version Version of the list.
 * @param instances The instances to list.
 * @returns The instance list as the platform publishes it.
 */
export function toFleetDocument(version: number, instances: readonly Instance[]): FleetDocument {
  const entries = instances.map(({ id, ...rest }) => [id, rest] as const);
  return { version, instances: Object.fromEntries(entries) };
}
