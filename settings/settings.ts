import type { Result } from 'neverthrow';
import * as z from 'zod';
import { JsoncDocument, checkDocument, type Finding } from '../finding/mod.ts';
import { ForeignEntryPolicy } from '../entry/mod.ts';
import { PickerKind } from '../placement/mod.ts';
import { LimitKind } from '../guard/mod.ts';
import { boundsSchema, durationSchema } from '../platform/mod.ts';

const port = z.int().min(0).max(65_535);
/** Address to listen on: an object with host and port, or the text `host:port`. */
const listenerSchema = z.preprocess(
  parseListener,
  z.strictObject({ host: z.string().default('127.0.0.1'), port }),
);
/** Milliseconds, or a duration such as "1500ms" or "2.5s". */
const millisecondsSchema = z.union([z.number().min(0), durationSchema]);
/** Retries of a pool in a burst; enough when one target with a few calls fails. */
const DEFAULT_RETRY_BURST = 10;
const url = z.url({ protocol: /^https?$/ });

/** Ways in which a platform publishes the configuration and the instance list. */
export enum PlatformKind {
  /** Versioned documents in rhubarbkeel's own format. */
  Documents = 'documents',
  /** Items in the users' key-value store. */
  Store = 'store',
}

/** Schema of a daemon's settings. */
export const settingsSchema = z.strictObject({
  /** The instance that the daemon runs on. */
  instance: z.strictObject({
    id: z.string().min(1),
    pool: z.string().min(1),
    failureDomain: z.string().min(1),
  }),
  /** Address on which the daemon accepts calls. */
  callers: listenerSchema,
  /** Address on which the daemon accepts links from peers. */
  peers: listenerSchema,
  /** Address on which operators query health and status. */
  operators: listenerSchema,
  target: z.strictObject({
    url,
    healthPath: z.string().startsWith('/').default('/health'),
    connections: z.int().min(1).default(64),
    /** Milliseconds between health probes; if absent, only a target that gets no calls is probed. */
    probePeriodMs: z.number().positive().optional(),
  }),
  platform: z.strictObject({
    url,
    kind: z.enum(PlatformKind).default(PlatformKind.Documents),
    /** Region of each failure domain, if the platform does not publish them. */
    regions: z.record(z.string(), z.string()).default({}),
    /** Retries per hundred calls, if the platform does not publish the number. */
    retryPercent: z.number().min(0).max(100).default(10),
    /** What the platform guarantees, under the platform's own names. */
    bounds: boundsSchema.prefault({}),
  }),
  /** StatsD server to which metrics are sent; none are sent if absent. */
  metrics: z.strictObject({ host: z.string(), port }).optional(),
  /** Additional address for operators, mainly to read `/metrics`; none if absent. */
  metricsListener: listenerSchema.optional(),
  decisions: z
    .strictObject({
      picker: z.enum(PickerKind).default(PickerKind.ExpectedCost),
      limit: z.enum(LimitKind).default(LimitKind.Fixed),
      /** How an entry outside the home regions of a call handles the call. */
      foreignEntry: z.enum(ForeignEntryPolicy).default(ForeignEntryPolicy.Refuse),
      /** Seed of the random numbers; differs between daemons. */
      seed: z.int().default(1),
      /** Number of decisions kept for `rhubarbkeel explain`. */
      journalLength: z.int().min(1).default(4_096),
    })
    .prefault({}),
  keys: z
    .strictObject({
      lifetimeMs: z.number().positive().default(600_000),
      keptBytes: z.int().min(0).default(8_388_608),
    })
    .prefault({}),
  /** Target crashes that a call must coincide with to be quarantined, and for how long. */
  quarantine: z
    .strictObject({
      coincidences: z.int().min(2).default(2),
      blockMs: z.number().positive().default(60_000),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Retries of a pool that this daemon may make in a burst. */
      burst: z.number().min(1).default(DEFAULT_RETRY_BURST),
      /** Retries of a pool that all daemons together may make in a burst. */
      fleetBurst: z.number().min(0).optional(),
    })
    .prefault({}),
  /** Lame-duck period, in which a daemon still accepts calls while callers move to others. */
  lameDuckMs: millisecondsSchema.default(0),
  /** Longest time that a planned stop waits for open calls, in milliseconds. */
  drainTimeoutMs: millisecondsSchema.default(30_000),
});

/** Validated settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Parses and validates the settings of a daemon.
 *
 * @param file Name of the settings file in findings.
 * @param text JSON with comments.
 * @returns The settings, or all findings in the order of their locations.
 */
export function parseSettings(file: string, text: string): Result<Settings, Finding[]> {
  return checkDocument(new JsoncDocument(file, text), settingsSchema).map(({ value }) => value);
}

function parseListener(value: unknown): unknown {
  if (typeof value !== 'string') return value;
  const [host = '', port = ''] = value.split(':');
  return { host, port: Number(port) };
}
