/**
 * Connections to callers, to peers and to the target. All encoding of messages
 * is in this folder.
 *
 * ```ts
 * import { FrameKind, decodeFrames, encodeFrames } from 'rhubarbkeel';
 *
 * const message = encodeFrames([{ kind: FrameKind.Ping }]);
 * console.assert(decodeFrames(message).isOk());
 * ```
 *
 * @module
 */
export * from './async_queue.ts';
export * from './call_frames.ts';
export * from './caller_body.ts';
export * from './caller_server.ts';
export * from './dialer.ts';
export * from './exchange.ts';
export * from './execute_attempt.ts';
export * from './flow_window.ts';
export * from './frame.ts';
export * from './frame_channel.ts';
export * from './frame_codec.ts';
export * from './frame_layout.ts';
export * from './handshake.ts';
export * from './headers.ts';
export * from './http_dialect.ts';
export * from './link_table.ts';
export * from './listen.ts';
export * from './metered_client.ts';
export * from './operator_server.ts';
export * from './default_dialect.ts';
export * from './peer_link.ts';
export * from './peer_server.ts';
export * from './problem.ts';
export * from './reset_socket.ts';
export * from './stall_detector.ts';
export * from './stream_body.ts';
export * from './target_client.ts';
export * from './to_body.ts';
export * from './ws_channel.ts';
