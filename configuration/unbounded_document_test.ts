import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { DocumentKind, HttpSource } from './mod.ts';

const CHUNK = ' '.repeat(65_536);
/** Largest number of bytes sent to a client that stops at its limit, socket buffers included. */
const MAX_SENT_BYTES = 33_554_432;

void t.test('HttpSource stops reading a document without end', async (t) => {
  let sentBytes = 0;
  const server = createServer((_req, res) => {
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
  const source = new HttpSource(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  const read = await source.read({
    document: DocumentKind.Fleet,
    afterVersion: 0,
    isUnconfirmed: false,
    inForce: {},
    waitMs: 0,
  });
  t.ok(read.isErr(), 'the read fails');
  t.ok(sentBytes < MAX_SENT_BYTES, 'the rest is not read');
  await source.close();
  server.closeAllConnections();
  server.close();
});
