import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';

const TIMEOUT_MS = 2_000;

/** Why a daemon gave no answer. */
export interface OperatorError {
  address: string;
  detail: string;
}

/**
 * Asks a daemon over its operators' address.
 *
 * @param address `host:port` of the daemon for operators.
 * @param path Path of the question.
 * @returns The answer as JSON, or why there is none.
 */
export async function queryDaemon(
  address: string,
  path: string,
): Promise<Result<unknown, OperatorError>> {
  try {
    const res = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return ok(await res.body.json());
  } catch (error) {
    return err({ address, detail: error instanceof Error ? error.message : 'no answer' });
  }
}
