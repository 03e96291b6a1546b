import { build } from 'esbuild';

/** Bundles the daemon into one file, which loads several times faster than its modules. */
await build({
  entryPoints: ['daemon/main.ts'],
  outfile: 'target/rhubarbkeeld.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // One dependency's CommonJS form loads its own parts by computed names.
  mainFields: ['module', 'main'],
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
});
