import type { Socket } from 'node:net';

/**
 * Resets a connection. A socket that is shutting down is only closed, since
 * Node.js loses the handle of a socket that is reset at that time.
 *
 * @param socket The connection.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
