import type { AddressInfo } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { WebSocketServer } from 'ws';
import type { FrameChannel } from './frame_channel.ts';
import { MAX_MESSAGE_BYTES, WsChannel } from './ws_channel.ts';
import type { ListenError } from './listen.ts';

/** Options of {@linkcode PeerServer.listen}. */
export interface PeerServerOptions {
  host: string;
  /** Port to listen on; zero for any. */
  port: number;
  /** Serves one connection until it ends. */
  serve: (channel: FrameChannel) => Promise<void>;
}

/** WebSocket server for the links that peers open. */
export class PeerServer {
  readonly #server: WebSocketServer;

  private constructor(server: WebSocketServer) {
    this.#server = server;
  }

  /**
   * Starts a server.
   *
   * @param options See {@linkcode PeerServerOptions}.
   * @returns The server once it listens, or why it cannot.
   */
  static listen(options: PeerServerOptions): Promise<Result<PeerServer, ListenError>> {
    const server = new WebSocketServer({
      host: options.host,
      port: options.port,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    server.on('connection', (socket) => {
      void options.serve(new WsChannel(socket));
    });
    return new Promise((resolve) => {
      server.once('error', ({ message }) => {
        resolve(err({ detail: message }));
      });
      server.once('listening', () => {
        resolve(ok(new PeerServer(server)));
      });
    });
  }

  /** @returns The port that the server listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops accepting connections; open ones stay open. */
  close(): void {
    this.#server.close();
  }
}
