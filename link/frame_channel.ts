import type { Result } from 'neverthrow';
import type { Frame } from './frame.ts';
import type { FrameError } from './frame_codec.ts';

/** One open connection between two daemons. */
export interface FrameChannel {
  /** Bytes sent since the start, as encoded. */
  readonly sentBytes: number;
  /** Bytes received since the start, as encoded. */
  readonly receivedBytes: number;
  /** @param frame The frame to send; lost if the connection has ended. */
  send(frame: Frame): void;
  /** @returns The frames received, in order; ends with the connection or after an error. */
  frames(): AsyncIterable<Result<Frame, FrameError>>;
  /** Ends the connection once what was sent before is flushed. */
  close(): void;
  /** Ends the connection at once. */
  terminate(): void;
}
