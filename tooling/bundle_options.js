import { fileURLToPath } from 'node:url';

const ASSERT = fileURLToPath(new URL('./assert_with_message.cjs', import.meta.url));

/** Gives each assertion of a dependency a message; see `assert_with_message.cjs`. */
const assertionMessages = {
  name: 'assertion-messages',
  setup({ onResolve }) {
    onResolve({ filter: /^(node:)?assert(\/strict)?$/ }, ({ importer }) =>
      importer === ASSERT ? undefined : { path: ASSERT },
    );
  },
};

/** How programs are bundled: one file, which loads several times faster than its modules. */
export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // The CommonJS build of one dependency requires its own modules by computed names.
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [assertionMessages],
};
