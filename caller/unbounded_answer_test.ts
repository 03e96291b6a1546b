import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { Outcome } from '../contract/mod.ts';
import { HeaderName } from '../link/mod.ts';
import { RealTimer } from '../timer/mod.ts';
import { Caller } from './mod.ts';

const CHUNK = 'a'.repeat(65_536);
const LIMIT_BYTES = 1_000_000;
/** Largest number of bytes sent to a client that stops at its limit, socket buffers included. */
const MAX_SENT_BYTES = 16_777_216;

void t.test('a caller stops reading an answer without end', async (t) => {
  let sentBytes = 0;
  const server = createServer((_req, res) => {
    res.setHeader(HeaderName.Outcome, Outcome.Answered);
    const send = () => {
      while (!res.destroyed) {
        sentBytes += CHUNK.length;
        if (!res.write(CHUNK)) return;
      }
    };
    res.on('drain', send);
    send();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const origins = [`http://127.0.0.1:${(server.address() as AddressInfo).port}`];
  const options = { timer: new RealTimer(), origins, workspace: 'plata' };
  const caller = new Caller({ ...options, answerLimitBytes: LIMIT_BYTES });
  const result = await caller.call({ method: 'GET', path: '/boards/3', deadlineMs: 1_000 });
  t.match(result, { outcome: Outcome.Unknown, status: 200, requestCount: 1 });
  t.ok(sentBytes < MAX_SENT_BYTES, 'the rest is not read');
  server.closeAllConnections();
  server.close();
});
