import type { DocumentKind } from '../configuration/mod.ts';
import type { Handover } from '../idempotency/mod.ts';
import type {
  FailureKind,
  ReceiverRole,
  LoadState,
  Outcome,
  RefusalReason,
} from '../contract/mod.ts';

/** The messages between daemons. The numbers are part of the protocol. */
export enum FrameKind {
  /** First frame in each direction: who speaks. */
  Hello = 1,
  /** Begins an attempt. */
  Call = 2,
  /** Part of a body, in either direction. */
  Data = 3,
  /** End of a body: whole or cut. */
  End = 4,
  /** Permits the other side to send more of a body. */
  Credit = 5,
  /** Begins an answer. */
  Answer = 6,
  /** Ends an attempt without an answer. */
  Failure = 7,
  /** The sender of an attempt no longer waits. */
  Cancel = 8,
  /** Asks for the end of an attempt whose answer was lost. */
  Settle = 9,
  /** The sender accepts no new work. */
  Leaving = 10,
  Ping = 11,
  Pong = 12,
  /** Versions that the sender has in force. */
  Versions = 13,
  /** Asks to be sent documents newer than those named. */
  Subscribe = 14,
  /** A whole document of the platform, or a patch to the version before. */
  Document = 15,
  /** Keys for a successor. */
  Handover = 16,
  HandoverAck = 17,
  /** A call that was in flight when a target crashed. */
  CrashSuspect = 18,
}

/** Version of the protocol; daemons of another one are refused. */
export const PROTOCOL_VERSION = 4;

export interface HelloFrame {
  kind: FrameKind.Hello;
  protocol: number;
  instanceId: string;
  incarnation: string;
  failureDomain: string;
}

export interface CallFrame {
  kind: FrameKind.Call;
  /** Names the exchange on this link. */
  stream: number;
  sequence: number;
  leg: ReceiverRole;
  callId: string;
  workspace: string;
  route: string;
  pool: string;
  /** Whether the sender counts on the call running once at most, which its version may say and another not. */
  runsAtMostOnce: boolean;
  callerPool: string;
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  leftMs: number;
  objectiveLeftMs: number;
  insists: boolean;
  depth: number;
  key: string | null;
  fingerprint: string | null;
  version: number;
  /** The whole body if it is small; otherwise data frames follow. */
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
  /** Why the body is not whole; null if it is. */
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

export interface VersionsFrame {
  kind: FrameKind.Versions;
  configuration: number;
  fleet: number;
}

export interface SubscribeFrame {
  kind: FrameKind.Subscribe;
  /** Whether to send later versions too, as long as the link lasts. */
  follow: boolean;
  configuration: number;
  fleet: number;
}

export interface DocumentFrame {
  kind: FrameKind.Document;
  document: DocumentKind;
  version: number;
  /** Version that the patch applies to; zero for a whole document. */
  base: number;
  /** Digest of the document that the patch applies to; empty for a whole document. */
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
  instanceId: string;
}

/** A message between daemons. */
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
  | CrashSuspectFrame;
