import * as z from 'zod';
import { Fleet, InstanceStage, type Instance } from '../instance/mod.ts';

/** Schema of the instance list; instances are keyed by name, which keeps patches small. */
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

/** An instance list that matches its schema. */
export type FleetDocument = z.infer<typeof fleetSchema>;

/**
 * Converts an instance list to a fleet.
 *
 * @param document A validated instance list.
 * @returns The fleet with the instances of the list.
 */
export function toFleet(document: FleetDocument): Fleet {
  const instances = Object.entries(document.instances).map(([id, each]) => ({ id, ...each }));
  return new Fleet(document.version, instances);
}

/**
 * Converts instances to the instance list that the platform publishes.
 *
 * @param version Version of the list.
 * @param instances The instances to list.
 * @returns The instance list.
 */
export function toFleetDocument(version: number, instances: readonly Instance[]): FleetDocument {
  const entries = instances.map(({ id, ...rest }) => [id, rest] as const);
  return { version, instances: Object.fromEntries(entries) };
}
