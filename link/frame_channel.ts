import type { Result } from 'neverthrow';
import type { Frame } from './frame.ts';
import type { FrameError } from './frame_codec.ts';

/** An open connection between two daemons, which carries frames. */
export interface FrameChannel {
  /** Encoded bytes sent since the connection was opened. */
  readonly sentBytes: number;
  /** Encoded bytes received since the connection was opened. */
  readonly receivedBytes: number;
  /**
   * Sends a frame; drops it if the connection has ended.
   *
   * @param frame The frame to send.
   */
  send(frame: Frame): void;
  /** @returns The received frames, in order, until the connection ends or an error is received. */
  frames(): AsyncIterable<Result<Frame, FrameError>>;
  /** Closes the connection after flushing the frames sent before. */
  close(): void;
  /** Closes the connection at once. */
  terminate(): void;
}
