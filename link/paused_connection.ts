import type { Socket } from 'node:net';
import { errors } from 'undici';

/** Error code of a connection that broke, other than the one that the library takes for an end. */
const BROKEN_CODE = 'EPIPE';

type Emit = (event: string | symbol, ...args: unknown[]) => boolean;

/**
 * A connection whose reader may pause. The library fails an assertion, outside of any call, if a
 * connection ends while its parser is paused, so the end is held back until the reader resumes, and
 * a reset or a close is reported as an error of the call.
 */
export class PausedConnection {
  readonly #emit: Emit;
  #isPaused = false;
  #isEndHeld = false;
  #hasFailed = false;

  /** @param socket The connection; its events are passed on by this object from now on. */
  constructor(socket: Socket) {
    this.#emit = socket.emit.bind(socket) as Emit;
    socket.emit = (event: string | symbol, ...args: unknown[]) => this.#handle(event, args);
  }

  /** Records that the reader has paused. */
  pause(): void {
    this.#isPaused = true;
  }

  /**
   * Resumes the reader, and passes on the end of the connection unless the reader pauses again.
   *
   * @param resume Resumes the library's parser.
   */
  resume(resume: () => void): void {
    this.#isPaused = false;
    resume();
    if (this.#isEndHeld && !this.#hasPaused()) {
      this.#isEndHeld = false;
      this.#emit('end');
    }
  }

  #hasPaused(): boolean {
    return this.#isPaused;
  }

  #handle(event: string | symbol, args: unknown[]): boolean {
    if (!this.#isPaused) return this.#emit(event, ...args);
    switch (event) {
      case 'end':
        this.#isEndHeld = true;
        return true;
      case 'error':
        this.#hasFailed = true;
        return this.#emit('error', Object.assign(args[0] as Error, { code: BROKEN_CODE }));
      case 'close':
        if (!this.#hasFailed) this.#handle('error', [new errors.SocketError('closed')]);
        return this.#emit(event, ...args);
      default:
        return this.#emit(event, ...args);
    }
  }
}
