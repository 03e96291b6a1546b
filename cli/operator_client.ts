import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';

const TIMEOUT_MS = 2_000;
/** Largest answer that is read, in bytes. */
const ANSWER_LIMIT_BYTES = 67_108_864;

const dispatcher = new Agent({ maxResponseSize: ANSWER_LIMIT_BYTES });

/** Reason why a daemon gave no answer. */
export interface OperatorError {
  address: string;
  detail: string;
}

/**
 * Queries the operator server of a daemon.
 *
 * @param address Operator address of the daemon, as `host:port`.
 * @param path Path of the resource.
 * @returns The parsed JSON answer, or the reason why there is none.
 */
export async function queryDaemon(
  address: string,
  path: string,
): Promise<Result<unknown, OperatorError>> {
  try {
    const res = await request(`http://${address}${path}`, {
      dispatcher,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return ok(await res.body.json());
  } catch (error) {
    return err({ address, detail: error instanceof Error ? error.message : 'no answer' });
  }
}
