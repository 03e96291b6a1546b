import type { Result } from 'neverthrow';
import { z } from 'zod';
import { SourceDocument, checkDocument, type Finding } from '../finding/mod.ts';
import { PickerKind } from '../placement/mod.ts';
import { LimitKind } from '../guard/mod.ts';

const port = z.int().min(0).max(65_535);
const url = z.url({ protocol: /^https?$/ });

/** Shape of a daemon's settings. */
export const settingsSchema = z.strictObject({
  /** The instance that the daemon stands on. */
  instance: z.strictObject({
    id: z.string().min(1),
    pool: z.string().min(1),
    failureDomain: z.string().min(1),
  }),
  /** Where calls are accepted. */
  callers: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  /** Where links of peers are accepted. */
  peers: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  /** Where operators ask for health and status. */
  operators: z.strictObject({ host: z.string().default('127.0.0.1'), port }),
  target: z.strictObject({
    url,
    healthPath: z.string().startsWith('/').default('/health'),
    connections: z.int().min(1).default(64),
  }),
  platform: z.strictObject({ url }),
  /** Where metrics are sent by StatsD; none if absent. */
  metrics: z.strictObject({ host: z.string(), port }).optional(),
  decisions: z
    .strictObject({
      picker: z.enum(PickerKind).default(PickerKind.ExpectedCost),
      limit: z.enum(LimitKind).default(LimitKind.Fixed),
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
  /** Longest time that a planned stop waits for open calls, in milliseconds. */
  drainTimeoutMs: z.number().positive().default(30_000),
});

/** A daemon's settings, checked. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * @param file Name of the document, for findings.
 * @param text JSON with comments.
 * @returns The settings, or every finding.
 */
export function parseSettings(file: string, text: string): Result<Settings, Finding[]> {
  return checkDocument(new SourceDocument(file, text), settingsSchema).map(({ value }) => value);
}
