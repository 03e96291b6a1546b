import t from 'tap';
import { ok } from 'neverthrow';
import { makeExampleCall } from '../fakes/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import {
  BufferedBody,
  RecordedBody,
  bufferIfSmall,
  collectBody,
  computeFingerprint,
  type Body,
  type BodyChunk,
} from './mod.ts';

const TEXT = 'round=2&board=3';

async function* sendInChunks(): AsyncGenerator<BodyChunk> {
  yield await Promise.resolve(ok(Buffer.from(TEXT.slice(0, 7))));
  yield ok(Buffer.from(TEXT.slice(7)));
}

async function readRecorded(limitBytes: number): Promise<Body> {
  const body = new RecordedBody(sendInChunks(), limitBytes);
  await collectBody(body, TEXT.length);
  return body;
}

void t.test('computeFingerprint() is the same however a call is sent, and only then', async (t) => {
  const call = makeExampleCall(new VirtualTimer());
  const buffered = new BufferedBody(Buffer.from(TEXT));
  const inTransit = new RecordedBody(sendInChunks(), TEXT.length);
  const before = computeFingerprint({ ...call, body: inTransit });
  await collectBody(inTransit, TEXT.length);
  const bodies: Record<string, Body> = {
    'sent in chunks': inTransit,
    'sent in chunks, buffered': await bufferIfSmall(sendInChunks(), TEXT.length),
    'sent in chunks, above the limit': await bufferIfSmall(sendInChunks(), 3),
    'sent in chunks, above the limit of the copy': await readRecorded(TEXT.length - 1),
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
