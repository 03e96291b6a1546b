import type { Socket } from 'node:net';

/**
 * Ends a connection so that its other side sees a reset. The engine loses the
 * handle of a socket that is reset while its shutdown is under way; such a
 * socket is only closed.
 *
 * @param socket The connection.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
