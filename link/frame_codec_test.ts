import fc from 'fast-check';
import t from 'tap';
import { FailureKind, Outcome, RefusalReason } from '../contract/mod.ts';
import {
  FRAME_LAYOUTS,
  FrameKind,
  decodeFrames,
  encodeFrames,
  type FieldCheck,
  type Frame,
} from './mod.ts';

const SEED = 20_261;
const RUNS = 2_000;

const failure: Frame = {
  kind: FrameKind.Failure,
  stream: 7,
  failure: FailureKind.Refused,
  reason: RefusalReason.TargetBusy,
  outcome: Outcome.NotRun,
  detail: 'busy',
  nextKey: null,
  load: null,
  version: 3,
};

void t.test('decodeFrames() restores the frames that encodeFrames() has encoded', (t) => {
  const frames: Frame[] = [{ kind: FrameKind.Ping }, failure];
  t.matchSnapshot(decodeFrames(encodeFrames(frames)), 'two frames');
  t.end();
});

void t.test('decodeFrames() rejects any other bytes without throwing', (t) => {
  const property = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    const decoded = decodeFrames(bytes);
    return decoded.isErr() || Array.isArray(decoded.value);
  });
  t.matchSnapshot(fc.check(property, { seed: SEED, numRuns: RUNS }).failed, 'any bytes');
  t.end();
});

void t.test('decodeFrames() accepts a frame only if each field passes its check', (t) => {
  const layouts = Object.entries(FRAME_LAYOUTS).map(([kind, layout]) => ({
    kind: Number(kind),
    checks: [...layout] as readonly (readonly [string, FieldCheck])[],
  }));
  const anyValue = fc.oneof(fc.string(), fc.double(), fc.nat(), fc.boolean(), fc.constant(null));
  const anyFrame = fc.constantFrom(...layouts).chain(({ kind, checks }) =>
    fc.record({
      kind: fc.constant(kind),
      checks: fc.constant(checks),
      values: fc.array(anyValue, { minLength: checks.length, maxLength: checks.length }),
    }),
  );
  const property = fc.property(anyFrame, ({ kind, checks, values }) => {
    const fields = Object.fromEntries(checks.map(([name], index) => [name, values[index]]));
    const frame: unknown = { kind, ...fields };
    const isExpected = checks.every(([, check], index) => check(values[index]));
    return decodeFrames(encodeFrames([frame as Frame])).isOk() === isExpected;
  });
  t.matchSnapshot(fc.check(property, { seed: SEED, numRuns: RUNS }).failed, 'any fields');
  t.end();
});
