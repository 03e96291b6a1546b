import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import t from 'tap';
import { resetSocket } from './mod.ts';

/** Moments at which the server resets a connection whose client has ended its side. */
const MOMENTS: Record<string, (reset: () => void) => void> = {
  'at once': (reset) => {
    reset();
  },
  'as the shutdown begins': queueMicrotask,
  'after the shutdown': setImmediate,
};

async function observeClose(moment: (reset: () => void) => void): Promise<string[]> {
  const seen: string[] = [];
  const server = createServer();
  const closed = new Promise<void>((resolve) => {
    server.on('connection', (socket: Socket) => {
      socket.on('error', ({ message }) => seen.push(message));
      socket.on('close', () => {
        seen.push('closed');
        resolve();
      });
      socket.on('end', () => {
        moment(() => {
          resetSocket(socket);
        });
      });
      socket.resume();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = connect(port, '127.0.0.1', () => client.end());
  client.on('error', () => undefined);
  await closed;
  const open = await new Promise<number>((resolve) => {
    server.getConnections((_, count) => {
      resolve(count);
    });
  });
  server.close();
  return [...seen, `${open} open`];
}

void t.test('resetSocket() closes a connection whose client has ended its side', async (t) => {
  for (const [name, moment] of Object.entries(MOMENTS)) {
    t.matchSnapshot(await observeClose(moment), name);
  }
});
