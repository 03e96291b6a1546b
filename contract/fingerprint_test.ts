import t from 'tap';
import { ok } from 'neverthrow';
import { makeExampleCall } from '../fakes/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import {
  BufferedBody,
  IDENTIFYING_BYTES,
  RecordedBody,
  ReplayableBody,
  bufferIfSmall,
  collectBody,
  computeFingerprint,
  type Body,
  type BodyChunk,
  type Call,
} from './mod.ts';

const TEXT = 'round=2&board=3';
const LONG_BYTES = IDENTIFYING_BYTES + 1_000;

async function* sendInChunks(): AsyncGenerator<BodyChunk> {
  yield await Promise.resolve(ok(Buffer.from(TEXT.slice(0, 7))));
  yield ok(Buffer.from(TEXT.slice(7)));
}

async function readRecorded(source: Body, limitBytes: number): Promise<Body> {
  const body = new RecordedBody(source);
  await collectBody(body, limitBytes);
  return body;
}

void t.test('computeFingerprint() is the same however a call is sent, and only then', async (t) => {
  const call = makeExampleCall(new VirtualTimer());
  const buffered = new BufferedBody(Buffer.from(TEXT));
  const inTransit = new RecordedBody(sendInChunks());
  const before = computeFingerprint({ ...call, body: inTransit });
  await collectBody(inTransit, TEXT.length);
  const bodies: Record<string, Body> = {
    'sent in chunks': inTransit,
    'sent in chunks, buffered': await bufferIfSmall(sendInChunks(), TEXT.length),
    'sent in chunks, above the limit': await bufferIfSmall(sendInChunks(), 3),
    'sent in chunks, read in part': await readRecorded(sendInChunks(), 3),
    'another body': new BufferedBody(Buffer.from('round=3')),
  };
  const fingerprint = computeFingerprint({ ...call, body: buffered });
  const compare = (other: string | undefined) => {
    if (other === undefined) return 'none';
    return other === fingerprint ? 'the same' : 'another';
  };
  const seen = [`not yet read: ${compare(before)}`];
  for (const [name, body] of Object.entries(bodies))
    seen.push(`${name}: ${compare(computeFingerprint({ ...call, body }))}`);
  const changes = { pathAndQuery: '/boards/4', callerPool: 'ratings', method: 'PUT', id: 'other' };
  for (const [name, value] of Object.entries(changes)) {
    const other = computeFingerprint({ ...call, [name]: value, body: buffered });
    seen.push(`another ${name}: ${compare(other)}`);
  }
  t.matchSnapshot(seen, 'fingerprints');
  const continued = await bufferIfSmall(sendInChunks(), 3);
  const read = await collectBody(continued, TEXT.length);
  t.equal(Buffer.from(read._unsafeUnwrap().bytes).toString(), TEXT, 'nothing is lost');
});

async function* sendLong(tail: string): AsyncGenerator<BodyChunk> {
  yield await Promise.resolve(ok(Buffer.alloc(LONG_BYTES - 1, 'x')));
  yield ok(Buffer.from(tail));
}

void t.test('computeFingerprint() covers the start and the length of a long body', async (t) => {
  const call = makeExampleCall(new VirtualTimer());
  const headers = [['Content-Length', String(LONG_BYTES)]] as const;
  const bytes = (tail: string) =>
    Buffer.concat([Buffer.alloc(LONG_BYTES - 1, 'x'), Buffer.from(tail)]);
  const first = computeFingerprint({ ...call, headers, body: new BufferedBody(bytes('a')) });
  const recorded = new RecordedBody(sendLong('a'));
  const replayable = new ReplayableBody(await bufferIfSmall(recorded, IDENTIFYING_BYTES), recorded);
  const others: Record<string, Partial<Call>> = {
    'in transit, its start read': { headers, body: replayable },
    'in transit, read to the end': { headers, body: await readRecorded(sendLong('a'), LONG_BYTES) },
    'in transit, without a stated length': { body: await readRecorded(sendLong('a'), LONG_BYTES) },
    'another end': { headers, body: new BufferedBody(bytes('b')) },
    'another length': {
      headers: [['content-length', String(LONG_BYTES + 1)]],
      body: new BufferedBody(bytes('aa')),
    },
    'its start alone': {
      headers,
      body: new BufferedBody(bytes('a').subarray(0, IDENTIFYING_BYTES)),
    },
  };
  const seen = Object.entries(others).map(([name, changes]) => {
    const isSame = computeFingerprint({ ...call, ...changes }) === first;
    return `${name}: ${isSame ? 'the same' : 'another'}`;
  });
  t.matchSnapshot(seen, 'fingerprints');
  const read = await collectBody(replayable, LONG_BYTES);
  t.ok(read._unsafeUnwrap().bytes.length === LONG_BYTES, 'nothing is lost');
});
