import { writeFileSync } from 'node:fs';
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle_options.js';

/** The daemon in one file, which loads several times faster than its modules. */
const BUNDLE = 'target/daemon.cjs';
/** The program to run: loads the bundle with the code cache that a warm-up run has written. */
const PROGRAM = 'target/rhubarbkeeld.cjs';

/** Engine options of the daemon, as in deploy/system.toml. */
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

await build({ ...BUNDLE_OPTIONS, entryPoints: ['daemon/main.ts'], outfile: BUNDLE });
writeFileSync(PROGRAM, loader);
// The engine accepts a code cache only under the options that it was created with.
const { status } = spawnSync(process.execPath, [...ENGINE_OPTIONS, PROGRAM, '--write-code-cache'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
process.exitCode = status ?? 1;
