import { FailureKind, ReceiverRole, Outcome, RefusalReason, TargetStage } from '../contract/mod.ts';
import { DocumentKind } from '../configuration/mod.ts';
import { FrameKind, type Frame } from './frame.ts';

/** Reports whether a decoded value is valid for a field. */
export type FieldCheck = (value: unknown) => boolean;

const isText: FieldCheck = (value) => typeof value === 'string';
const isNumber: FieldCheck = (value) => typeof value === 'number' && Number.isFinite(value);
const isFlag: FieldCheck = (value) => typeof value === 'boolean';
const isBytes: FieldCheck = (value) => value instanceof Uint8Array;
const isTextList: FieldCheck = (value) => Array.isArray(value) && value.every(isText);
const isHeaderList: FieldCheck = (value) =>
  Array.isArray(value) && value.length % 2 === 0 && value.every(isText);

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isNonNegative(value: unknown): boolean {
  return isNumber(value) && (value as number) >= 0;
}

function orAbsent(check: FieldCheck): FieldCheck {
  return (value) => value === undefined || check(value);
}

function orNull(check: FieldCheck): FieldCheck {
  return (value) => value === null || check(value);
}

function isOneOf(members: Record<string, string>): FieldCheck {
  const values = new Set<unknown>(Object.values(members));
  return (value) => values.has(value);
}

function hasFields(checks: Readonly<Record<string, FieldCheck>>): FieldCheck {
  return (value) => {
    if (typeof value !== 'object' || value === null) return false;
    const fields = value as Record<string, unknown>;
    return Object.entries(checks).every(([name, check]) => check(fields[name]));
  };
}

const isNotice = hasFields({
  targetId: orAbsent(isText),
  maxCallsPerSecond: orAbsent(isNonNegative),
  isLeaving: isFlag,
});

const isLoad = hasFields({
  inFlight: isCount,
  limit: isCount,
  queued: isCount,
  serviceMs: isNumber,
  stage: isOneOf(TargetStage),
  notice: orAbsent(isNotice),
  startDelayMs: orAbsent(isNonNegative),
});

const isHandoverAnswer = hasFields({
  status: isCount,
  headers: (value) => Array.isArray(value) && value.every(isTextList),
  body: isBytes,
});

const isHandoverRecord = hasFields({
  sequence: isCount,
  digest: isText,
  expiresAtMs: isNumber,
  bytes: isCount,
  answer: (value) => value === undefined || value === null || isHandoverAnswer(value),
});

const isHandover = hasFields({
  incarnation: isText,
  secret: isBytes,
  issuerNowMs: isNumber,
  records: (value) => Array.isArray(value) && value.every(isHandoverRecord),
});

type Layout<F extends Frame> = readonly (readonly [
  Exclude<keyof F, 'kind'> & string,
  FieldCheck,
])[];

type Layouts = { readonly [K in FrameKind]: Layout<Extract<Frame, { kind: K }>> };

/** The fields of each kind of frame, in the order in which they are sent. */
export const FRAME_LAYOUTS: Layouts = {
  [FrameKind.Hello]: [
    ['protocol', isCount],
    ['instanceId', isText],
    ['incarnation', isText],
    ['failureDomain', isText],
  ],
  [FrameKind.Call]: [
    ['stream', isCount],
    ['sequence', isCount],
    ['leg', isOneOf(ReceiverRole)],
    ['callId', isText],
    ['workspace', isText],
    ['route', isText],
    ['pool', isText],
    ['runsAtMostOnce', isFlag],
    ['callerPool', isText],
    ['method', isText],
    ['target', isText],
    ['headers', isHeaderList],
    ['leftMs', isNumber],
    ['objectiveLeftMs', isNumber],
    ['insists', isFlag],
    ['depth', isCount],
    ['key', orNull(isText)],
    ['fingerprint', orNull(isText)],
    ['version', isCount],
    ['body', orNull(isBytes)],
  ],
  [FrameKind.Data]: [
    ['stream', isCount],
    ['bytes', isBytes],
  ],
  [FrameKind.End]: [
    ['stream', isCount],
    ['cut', orNull(isText)],
  ],
  [FrameKind.Credit]: [
    ['stream', isCount],
    ['bytes', isCount],
  ],
  [FrameKind.Answer]: [
    ['stream', isCount],
    ['status', isCount],
    ['headers', isHeaderList],
    ['load', orNull(isLoad)],
    ['body', orNull(isBytes)],
    ['version', isCount],
  ],
  [FrameKind.Failure]: [
    ['stream', isCount],
    ['failure', isOneOf(FailureKind)],
    ['reason', isOneOf(RefusalReason)],
    ['outcome', isOneOf(Outcome)],
    ['detail', isText],
    ['nextKey', orNull(isText)],
    ['load', orNull(isLoad)],
    ['version', isCount],
  ],
  [FrameKind.Cancel]: [['stream', isCount]],
  [FrameKind.Settle]: [
    ['stream', isCount],
    ['sequence', isCount],
    ['leftMs', isNumber],
  ],
  [FrameKind.Leaving]: [],
  [FrameKind.Ping]: [],
  [FrameKind.Pong]: [],
  [FrameKind.Versions]: [
    ['configuration', isCount],
    ['fleet', isCount],
  ],
  [FrameKind.Subscribe]: [
    ['follow', isFlag],
    ['configuration', isCount],
    ['fleet', isCount],
  ],
  [FrameKind.Document]: [
    ['document', isOneOf(DocumentKind)],
    ['version', isCount],
    ['base', isCount],
    ['baseDigest', isText],
    ['text', isText],
  ],
  [FrameKind.Handover]: [['handover', isHandover]],
  [FrameKind.HandoverAck]: [
    ['incarnation', isText],
    ['accepted', isFlag],
  ],
  [FrameKind.TargetNotice]: [['notice', isNotice]],
  [FrameKind.CrashSuspect]: [
    ['fingerprint', isText],
    ['evidence', isText],
  ],
};
