import { z } from 'zod';
import { DomainState } from '../failure_domain/mod.ts';

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
  error: 'expected a name of a-z, 0-9 and "-"',
});
const count = z.int().min(1);
const milliseconds = z.number().positive();

const DEFAULT_BODY_LIMIT_BYTES = 1_048_576;

/** Shape of a configuration document. */
export const configurationSchema = z.strictObject({
  version: z.int().min(1),
  failureDomains: z
    .array(
      z.strictObject({
        name,
        region: name,
        state: z.enum(DomainState).default(DomainState.In),
      }),
    )
    .min(1),
  workspaces: z.array(
    z.strictObject({
      name,
      hosts: z.array(z.string()).default([]),
      homeRegions: z.array(name).min(1).optional(),
    }),
  ),
  pools: z.array(
    z.strictObject({
      name,
      slots: count,
      coldSlots: count.default(1),
      coldMs: z.number().min(0).default(1_000),
      queueLength: z.int().min(0).default(60),
      queueWaitMs: milliseconds.default(250),
      retryPercent: z.number().min(0).max(100).default(10),
    }),
  ),
  routes: z.array(
    z.strictObject({
      name,
      workspace: name,
      methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
      path: z.string().startsWith('/'),
      pool: name,
      idempotent: z.boolean(),
      homeRegions: z.array(name).min(1).optional(),
      weight: z.number().positive().default(1),
      timeoutMs: milliseconds.default(2_000),
      bodyLimitBytes: z.int().min(0).default(DEFAULT_BODY_LIMIT_BYTES),
      quarantine: z.boolean().default(false),
      hedge: z.boolean().default(false),
    }),
  ),
});

const anyName = z.string().catch('');
const anyNames = z.array(z.string()).optional().catch(undefined);

/**
 * The names in a configuration document, whatever else is wrong with it, so
 * that references are checked even if some value has the wrong shape.
 */
export const namesSchema = z.object({
  failureDomains: z.array(z.object({ name: anyName, region: anyName })),
  workspaces: z.array(z.object({ name: anyName, homeRegions: anyNames })),
  pools: z.array(
    z.object({ name: anyName, slots: count.catch(Infinity), coldSlots: count.catch(1) }),
  ),
  routes: z.array(
    z.object({ name: anyName, workspace: anyName, pool: anyName, homeRegions: anyNames }),
  ),
});

/** The names in a configuration document. */
export type ConfigurationNames = z.infer<typeof namesSchema>;

/** A configuration document that has the right shape. */
export type ConfigurationDocument = z.infer<typeof configurationSchema>;
