import type { Server } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

/** Why a server cannot listen. */
export interface ListenError {
  detail: string;
}

/**
 * Starts a server on an address.
 *
 * @param server The server to start.
 * @param address Host and port to listen on; port zero for any.
 * @returns Nothing once the server listens, or why it cannot.
 */
export function listen(
  server: Server,
  { host, port }: { host: string; port: number },
): Promise<Result<void, ListenError>> {
  return new Promise((resolve) => {
    server.once('error', ({ message }) => {
      resolve(err({ detail: message }));
    });
    server.listen(port, host, () => {
      resolve(ok(undefined));
    });
  });
}
