import type { Result } from 'neverthrow';
import * as z from 'zod';
import { JsoncDocument, checkDocument, type Finding } from '../finding/mod.ts';
import { ForeignEntryPolicy } from '../entry/mod.ts';
import { PickerKind } from '../placement/mod.ts';
import { LimitKind } from '../guard/mod.ts';
import { durationSchema } from '../platform/mod.ts';

const port = z.int().min(0).max(65_535);
/** Where to listen: host and port apart, or as `host:port`. */
const listener = z.preprocess(
  splitAddress,
  z.strictObject({ host: z.string().default('127.0.0.1'), port }),
);
/** Milliseconds, or a time such as "1500ms" or "2.5s". */
const duration = z.union([z.number().min(0), durationSchema]);
/** Further attempts of a pool in a burst: enough for one failed target at a few calls each. */
const DEFAULT_RETRY_BURST = 10;
const url = z.url({ protocol: /^https?$/ });

/** The ways in which a platform publishes what daemons read. */
export enum PlatformKind {
  /** Numbered documents in the product's own form. */
  Documents = 'documents',
  /** The users' store of items. */
  Store = 'store',
}

/** Shape of a daemon's settings. */
export const settingsSchema = z.strictObject({
  /** The instance that the daemon stands on. */
  instance: z.strictObject({
    id: z.string().min(1),
    pool: z.string().min(1),
    failureDomain: z.string().min(1),
  }),
  /** Where calls are accepted. */
  callers: listener,
  /** Where links of peers are accepted. */
  peers: listener,
  /** Where operators ask for health and status. */
  operators: listener,
  target: z.strictObject({
    url,
    healthPath: z.string().startsWith('/').default('/health'),
    connections: z.int().min(1).default(64),
    /** Time between two probes; only a target that is down is probed if absent. */
    probePeriodMs: z.number().positive().optional(),
  }),
  platform: z.strictObject({
    url,
    kind: z.enum(PlatformKind).default(PlatformKind.Documents),
    /** Region of each failure domain, where the platform does not publish them. */
    regions: z.record(z.string(), z.string()).default({}),
    /** Further attempts per hundred calls, where the platform does not publish them. */
    retryPercent: z.number().min(0).max(100).default(10),
  }),
  /** Where metrics are sent by StatsD; none if absent. */
  metrics: z.strictObject({ host: z.string(), port }).optional(),
  /** A further address where operators ask, `/metrics` first of all; none if absent. */
  metricsListener: listener.optional(),
  decisions: z
    .strictObject({
      picker: z.enum(PickerKind).default(PickerKind.ExpectedCost),
      limit: z.enum(LimitKind).default(LimitKind.Fixed),
      /** What an entry outside a call's home regions does with it. */
      foreignEntry: z.enum(ForeignEntryPolicy).default(ForeignEntryPolicy.Refuse),
      /** Seed of the random numbers; differs between daemons. */
      seed: z.int().default(1),
      /** Decisions kept for `rhubarbkeel explain`. */
      journalLength: z.int().min(1).default(4_096),
    })
    .prefault({}),
  keys: z
    .strictObject({
      lifetimeMs: z.number().positive().default(600_000),
      keptBytes: z.int().min(0).default(8_388_608),
    })
    .prefault({}),
  /** Crashes that a call must coincide with before it is quarantined, and for how long. */
  quarantine: z
    .strictObject({
      coincidences: z.int().min(2).default(2),
      blockMs: z.number().positive().default(60_000),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Further attempts of a pool that this daemon may make in a burst. */
      burst: z.number().min(1).default(DEFAULT_RETRY_BURST),
      /** Further attempts of a pool that all daemons together may make in a burst. */
      fleetBurst: z.number().min(0).optional(),
    })
    .prefault({}),
  /** Time for which a stopping daemon still takes calls, so that callers can turn away. */
  lameDuckMs: duration.default(0),
  /** Longest time that a planned stop waits for open calls, in milliseconds. */
  drainTimeoutMs: duration.default(30_000),
});

/** A daemon's settings, checked. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * @param file Name of the document, for findings.
 * @param text JSON with comments.
 * @returns The settings, or every finding.
 */
export function parseSettings(file: string, text: string): Result<Settings, Finding[]> {
  return checkDocument(new JsoncDocument(file, text), settingsSchema).map(({ value }) => value);
}

function splitAddress(value: unknown): unknown {
  if (typeof value !== 'string') return value;
  const [host = '', port = ''] = value.split(':');
  return { host, port: Number(port) };
}
