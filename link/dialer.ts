import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { FrameChannel } from './frame_channel.ts';
import { MAX_MESSAGE_BYTES, WsChannel } from './ws_channel.ts';

/** Why a connection could not be opened. */
export interface DialError {
  detail: string;
}

/** Opens connections to peers. */
export interface Dialer {
  /**
   * Opens a connection to a peer.
   *
   * @param address `host:port` of the peer.
   * @returns The open connection, or why it could not be opened.
   */
  dial(address: string): Promise<Result<FrameChannel, DialError>>;
}

/** Longest wait for a connection and its upgrade, in milliseconds; several round trips between regions. */
const DIAL_TIMEOUT_MS = 400;

/** A {@linkcode Dialer} over WebSocket. */
export class WsDialer implements Dialer {
  dial(address: string): Promise<Result<FrameChannel, DialError>> {
    const socket = openSocket(address);
    if (socket.isErr()) return Promise.resolve(err(socket.error));
    return waitUntilOpen(socket.value, address);
  }
}

/** Opens a socket; the library throws if no URL can be made of the address. */
function openSocket(address: string): Result<WebSocket, DialError> {
  try {
    const options = {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
    };
    return ok(new WebSocket(`ws://${address}`, options));
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'invalid address';
    return err({ detail: `${address}: ${detail}` });
  }
}

function waitUntilOpen(
  socket: WebSocket,
  address: string,
): Promise<Result<FrameChannel, DialError>> {
  return new Promise((resolve) => {
    socket.once('open', () => {
      resolve(ok(new WsChannel(socket)));
    });
    socket.once('error', (error) => {
      resolve(err({ detail: `${address}: ${error.message}` }));
    });
  });
}
