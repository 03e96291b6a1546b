import { err, ok, type Result } from 'neverthrow';
import { withTimeout, type TimerService } from '../timer/mod.ts';
import { FrameKind, PROTOCOL_VERSION, type Frame, type HelloFrame } from './frame.ts';
import type { FrameChannel } from './frame_channel.ts';

const HANDSHAKE_TIMEOUT_MS = 1_000;

/** Why a peer is rejected. */
export interface HandshakeError {
  detail: string;
}

/**
 * Exchanges the hello frames that open a link. Terminates the channel if the
 * peer is rejected.
 *
 * @param channel The open connection.
 * @param localHello The hello frame of this daemon.
 * @param timer The clock.
 * @returns The peer's hello frame, or why the peer is rejected.
 */
export async function performHandshake(
  channel: FrameChannel,
  localHello: HelloFrame,
  timer: TimerService,
): Promise<Result<HelloFrame, HandshakeError>> {
  channel.send(localHello);
  const received = await withTimeout(timer, HANDSHAKE_TIMEOUT_MS, readHello(channel));
  const detail = `expected a greeting within ${HANDSHAKE_TIMEOUT_MS} ms`;
  const result = received ?? err<HelloFrame, HandshakeError>({ detail });
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
