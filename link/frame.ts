import type { DocumentKind } from '../configuration/mod.ts';
import type { Handover } from '../idempotency/mod.ts';
import type {
  FailureKind,
  ReceiverRole,
  LoadState,
  Outcome,
  RefusalReason,
  TargetNotice,
} from '../contract/mod.ts';

/** Kinds of frames between daemons. The numbers are part of the protocol. */
export enum FrameKind {
  /** First frame in each direction; identifies the sender. */
  Hello = 1,
  /** Starts an attempt. */
  Call = 2,
  /** Part of a body, in either direction. */
  Data = 3,
  /** End of a body, complete or truncated. */
  End = 4,
  /** Permits the other side to send more of a body. */
  Credit = 5,
  /** Starts an answer. */
  Answer = 6,
  /** Completes an attempt without an answer. */
  Failure = 7,
  /** Cancels an attempt or the transfer of a body. */
  Cancel = 8,
  /** Asks for the result of an attempt whose answer was lost. */
  Settle = 9,
  /** The sender accepts no new work. */
  Leaving = 10,
  Ping = 11,
  Pong = 12,
  /** Versions of the documents in force at the sender. */
  Versions = 13,
  /** Requests documents newer than the given versions. */
  Subscribe = 14,
  /** A complete document of the platform, or a patch to the previous version. */
  Document = 15,
  /** Hands keys over to a successor. */
  Handover = 16,
  HandoverAck = 17,
  /** Reports evidence on whether a call crashes its targets. */
  CrashSuspect = 18,
  /** Repeats what the receiver's target has asked of its callers, which a restarted guard has lost. */
  TargetNotice = 19,
}

/** Version of the protocol; peers with another version are rejected. */
export const PROTOCOL_VERSION = 5;

export interface HelloFrame {
  kind: FrameKind.Hello;
  protocol: number;
  instanceId: string;
  incarnation: string;
  failureDomain: string;
}

export interface CallFrame {
  kind: FrameKind.Call;
  /** Stream number of the exchange on this link. */
  stream: number;
  sequence: number;
  leg: ReceiverRole;
  callId: string;
  workspace: string;
  route: string;
  pool: string;
  /** Whether the sender relies on the call running at most once; configuration versions may differ in this. */
  runsAtMostOnce: boolean;
  callerPool: string;
  method: string;
  target: string;
  /** Names and values, alternating. */
  headers: string[];
  leftMs: number;
  objectiveLeftMs: number;
  insists: boolean;
  depth: number;
  key: string | null;
  /** Not used any more; peers of earlier builds expect the field. */
  fingerprint: null;
  version: number;
  /** The complete body if it is buffered; otherwise data frames follow. */
  body: Uint8Array | null;
}

export interface DataFrame {
  kind: FrameKind.Data;
  stream: number;
  bytes: Uint8Array;
}

export interface EndFrame {
  kind: FrameKind.End;
  stream: number;
  /** Why the body is truncated; null if it is complete. */
  cut: string | null;
}

export interface CreditFrame {
  kind: FrameKind.Credit;
  stream: number;
  bytes: number;
}

export interface AnswerFrame {
  kind: FrameKind.Answer;
  stream: number;
  status: number;
  headers: string[];
  load: LoadState | null;
  body: Uint8Array | null;
  version: number;
}

export interface FailureFrame {
  kind: FrameKind.Failure;
  stream: number;
  failure: FailureKind;
  reason: RefusalReason;
  outcome: Outcome;
  detail: string;
  nextKey: string | null;
  load: LoadState | null;
  version: number;
}

export interface CancelFrame {
  kind: FrameKind.Cancel;
  stream: number;
}

export interface SettleFrame {
  kind: FrameKind.Settle;
  stream: number;
  sequence: number;
  leftMs: number;
}

export interface LeavingFrame {
  kind: FrameKind.Leaving;
}

export interface PingFrame {
  kind: FrameKind.Ping;
}

export interface PongFrame {
  kind: FrameKind.Pong;
}

/**
 * Versions of the documents in force at the sender; zero for a document of which nothing is said. A
 * frame that states both confirms them: the platform has just answered that they are current.
 */
export interface VersionsFrame {
  kind: FrameKind.Versions;
  configuration: number;
  fleet: number;
}

export interface SubscribeFrame {
  kind: FrameKind.Subscribe;
  /** Whether to send later versions too, as long as the link is open. */
  follow: boolean;
  configuration: number;
  fleet: number;
}

export interface DocumentFrame {
  kind: FrameKind.Document;
  document: DocumentKind;
  version: number;
  /** Version that the patch applies to; zero for a complete document. */
  base: number;
  /** Digest of the document that the patch applies to; empty for a complete document. */
  baseDigest: string;
  /** JSON text of the document or of a JSON Patch. */
  text: string;
}

export interface HandoverFrame {
  kind: FrameKind.Handover;
  handover: Handover;
}

export interface HandoverAckFrame {
  kind: FrameKind.HandoverAck;
  incarnation: string;
  accepted: boolean;
}

export interface CrashSuspectFrame {
  kind: FrameKind.CrashSuspect;
  fingerprint: string;
  /** Kind, age in milliseconds and identifier of the evidence, separated by colons. */
  evidence: string;
}

export interface TargetNoticeFrame {
  kind: FrameKind.TargetNotice;
  notice: TargetNotice;
}

/** A frame between daemons; one message holds one or more. */
export type Frame =
  | HelloFrame
  | CallFrame
  | DataFrame
  | EndFrame
  | CreditFrame
  | AnswerFrame
  | FailureFrame
  | CancelFrame
  | SettleFrame
  | LeavingFrame
  | PingFrame
  | PongFrame
  | VersionsFrame
  | SubscribeFrame
  | DocumentFrame
  | HandoverFrame
  | HandoverAckFrame
  | CrashSuspectFrame
  | TargetNoticeFrame;
