import * as z from 'zod';
import { DomainState } from '../failure_domain/mod.ts';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,252}$/, {
  error: 'expected a name of a-z, 0-9, "." and "-"',
});
const count = z.int().min(1);
const milliseconds = z.number().positive();

const DEFAULT_BODY_LIMIT_BYTES = 1_048_576;
const DEFAULT_MAX_ATTEMPTS = 32;
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/** Schema of a configuration document. */
export const configurationSchema = z.strictObject({
  version: z.int().min(1),
  failureDomains: z
    .array(
      z.strictObject({
        name,
        region: name,
        state: z.enum(DomainState).default(DomainState.InService),
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
      coldPerSecond: z.number().positive().optional(),
      healthPath: z.string().startsWith('/').optional(),
      queueLength: z.int().min(0).default(60),
      queueWaitMs: milliseconds.default(250),
      retryPercent: z.number().min(0).max(100).default(10),
    }),
  ),
  routes: z.array(
    z.strictObject({
      name,
      workspace: name,
      methods: z.array(z.enum(METHODS)).min(1).optional(),
      path: z.string().startsWith('/'),
      pool: name.optional(),
      pools: z
        .array(z.strictObject({ pool: name, weight: z.number().min(0) }))
        .min(1)
        .optional(),
      idempotent: z.boolean(),
      issuedKeys: z.boolean().default(true),
      homeRegions: z.array(name).min(1).optional(),
      weight: z.number().positive().default(1),
      timeoutMs: milliseconds.default(2_000),
      objectiveMs: milliseconds.optional(),
      maxAttempts: count.default(DEFAULT_MAX_ATTEMPTS),
      bodyLimitBytes: z.int().min(0).default(DEFAULT_BODY_LIMIT_BYTES),
      quarantine: z.boolean().default(false),
      hedge: z.boolean().default(false),
    }),
  ),
  /** Timeouts of callers' connections. */
  callers: z
    .strictObject({
      headerTimeoutMs: milliseconds.default(10_000),
      idleTimeoutMs: milliseconds.default(60_000),
    })
    .prefault({}),
});

const lenientName = z.string().catch('');
const lenientNames = z.array(z.string()).optional().catch(undefined);

/**
 * Schema of the names in a configuration document. Tolerates invalid values, so
 * that references are checked even in a document with other findings.
 */
export const configurationNamesSchema = z.object({
  failureDomains: z.array(z.object({ name: lenientName, region: lenientName })),
  workspaces: z.array(z.object({ name: lenientName, homeRegions: lenientNames })),
  pools: z.array(
    z.object({ name: lenientName, slots: count.catch(Infinity), coldSlots: count.catch(1) }),
  ),
  routes: z.array(
    z.object({
      name: lenientName,
      workspace: lenientName,
      pool: z.string().optional().catch(undefined),
      pools: z
        .array(z.object({ pool: lenientName }))
        .optional()
        .catch(undefined),
      homeRegions: lenientNames,
    }),
  ),
});

/** Names in a configuration document and the references to them. */
export type ConfigurationNames = z.infer<typeof configurationNamesSchema>;

/** A configuration document that matches its schema, with defaults filled in. */
export type ConfigurationDocument = z.infer<typeof configurationSchema>;

/** A configuration document before its defaults are filled in. */
export type ConfigurationInput = z.input<typeof configurationSchema>;
