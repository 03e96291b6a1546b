import { writeFileSync } from 'node:fs';
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';

/** The daemon in one file, which loads several times faster than its modules. */
const BUNDLE = 'target/daemon.cjs';
/** What is run: loads the bundle with the code that an earlier run of it has compiled. */
const PROGRAM = 'target/rhubarbkeeld.cjs';

/** Options of the engine in deploy/system.toml. */
const ENGINE_OPTIONS = ['--max-semi-space-size=1', '--max-old-space-size=200'];

const loader = `'use strict';
const { readFileSync, writeFileSync } = require('node:fs');
const { Script } = require('node:vm');
const { dirname, join } = require('node:path');
const filename = join(dirname(__filename), 'daemon.cjs');
const cacheFile = join(dirname(__filename), 'daemon.cache');
const isWarmUp = process.argv.includes('--write-code-cache');
const cachedData = isWarmUp ? undefined : readFileSync(cacheFile);
const text = '(function (exports, require, module, __filename, __dirname) {' +
  readFileSync(filename, 'utf8').replace(/^#!.*/, '') + '\\n})';
const script = new Script(text, { filename, cachedData });
if (isWarmUp) process.argv = [process.argv[0], __filename, '--help'];
script.runInThisContext()(exports, require, module, filename, dirname(filename));
if (isWarmUp) writeFileSync(cacheFile, script.createCachedData());
`;

await build({
  entryPoints: ['daemon/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // One dependency's CommonJS form loads its own parts by computed names.
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
});
writeFileSync(PROGRAM, loader);
// Compiled code is only accepted under the engine options it was made with.
const { status } = spawnSync(process.execPath, [...ENGINE_OPTIONS, PROGRAM, '--write-code-cache'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
process.exitCode = status ?? 1;
