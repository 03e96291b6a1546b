import { err, ok, type Result } from 'neverthrow';
import { withTimeout, type TimerService } from '../timer/mod.ts';
import { FrameKind, PROTOCOL_VERSION, type Frame, type HelloFrame } from './frame.ts';
import type { FrameChannel } from './frame_channel.ts';

const GREETING_TIMEOUT_MS = 1_000;

/** Why a peer was not accepted. */
export interface HandshakeError {
  detail: string;
}

/**
 * Exchanges the first frames of a link.
 *
 * @param channel The open connection.
 * @param own What this daemon says about itself.
 * @param timer The source of time.
 * @returns What the peer says about itself, or why the link is refused.
 */
export async function performHandshake(
  channel: FrameChannel,
  own: HelloFrame,
  timer: TimerService,
): Promise<Result<HelloFrame, HandshakeError>> {
  channel.send(own);
  const greeted = await withTimeout(timer, GREETING_TIMEOUT_MS, readHello(channel));
  const detail = `expected a greeting within ${GREETING_TIMEOUT_MS} ms`;
  const result = greeted ?? err<HelloFrame, HandshakeError>({ detail });
  if (result.isErr()) channel.terminate();
  return result;
}

async function readHello(channel: FrameChannel): Promise<Result<HelloFrame, HandshakeError>> {
  for await (const received of channel.frames()) {
    return received.mapErr(({ detail }) => ({ detail })).andThen(checkHello);
  }
  return err({ detail: 'the connection ended before the greeting' });
}

function checkHello(frame: Frame): Result<HelloFrame, HandshakeError> {
  if (frame.kind !== FrameKind.Hello) {
    return err({ detail: `expected a greeting, got frame ${frame.kind}` });
  }
  if (frame.protocol !== PROTOCOL_VERSION) {
    return err({ detail: `expected protocol ${PROTOCOL_VERSION}, got ${frame.protocol}` });
  }
  return ok(frame);
}
