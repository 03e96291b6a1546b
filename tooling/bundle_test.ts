import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { build, type BuildOptions } from 'esbuild';
import t from 'tap';

/** Root of the checkout, seen from dist/tooling/. */
const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const OPTIONS_FILE = new URL('../../tooling/bundle_options.js', import.meta.url);
/** Prints the errors with which the HTTP library ends two requests. */
const PROGRAM = `
const { request } = require('undici');
(async () => {
  for (const path of ['/1', '/2']) {
    try {
      await request(process.argv[2] + path);
    } catch ({ code, message }) {
      console.log(code + ': ' + message);
    }
  }
  process.exit();
})();
`;

// Guards against a pause of the whole process while the engine reads the bundle to describe a failed assertion.
void t.test('a failed assertion of a library does not parse the bundle', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'bundle-'));
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write('HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n'));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(async () => {
    server.close();
    await rm(folder, { recursive: true });
  });
  const { BUNDLE_OPTIONS } = (await import(OPTIONS_FILE.href)) as { BUNDLE_OPTIONS: BuildOptions };
  const outfile = join(folder, 'program.cjs');
  await build({ ...BUNDLE_OPTIONS, stdin: { contents: PROGRAM, resolveDir: ROOT }, outfile });
  const { port } = server.address() as AddressInfo;
  const { stdout } = await promisify(execFile)('node', [outfile, `http://127.0.0.1:${port}`]);
  t.matchSnapshot(stdout.trim().split('\n'), 'errors of the library');
});
