import { randomBytes } from 'node:crypto';

/** Identifies one run of a daemon process; a restarted daemon has another one. */
export type Incarnation = string;

const INCARNATION_BYTES = 9;

/** @returns A new, unique incarnation. */
export function newIncarnation(): Incarnation {
  return randomBytes(INCARNATION_BYTES).toString('base64url');
}
