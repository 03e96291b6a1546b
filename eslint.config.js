import tseslint from 'typescript-eslint';

/** Words of the users' platform, which are decoded in platform/ only. */
const platformWords =
  '/kv-(range|watch|key)|^op\\/|^servers\\/|not-executed|weighted_services|cold_remaining|allowed_regions|caller-service/i';

/** Words that the glossary has replaced by the terms of the field. */
const retiredWords =
  '([Oo]bjection|[Ss]cene|[Gg]eography|[Aa]pplicant|[Pp]lacing|[Gg]reet|[Ll]onely|[Tt]rouble|[Gg]iveUp|[Oo]nLook|[Ee]ndless|[Tt]urnAway|[Uu]nrun|[Cc]ourse|[Ww]orld)';

const transports = ['ws', 'hono', 'undici', 'msgpackr', '@hono/node-server'];

export default tseslint.config(
  {
    ignores: [
      'dist/',
      'target/',
      'node_modules/',
      '.tap/',
      'tap-snapshots/',
      'eslint.config.js',
      'tooling/*.{js,cjs}',
    ],
  },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'default', format: null, custom: { regex: retiredWords, match: false } },
      ],
    },
  },
  {
    files: ['**/*.ts'],
    ignores: ['timer/**', '**/*_test.ts', 'bench/**', 'tooling/**'],
    rules: {
      'no-restricted-globals': [
        'error',
        { name: 'setTimeout', message: 'Use the timer service.' },
        { name: 'setInterval', message: 'Use the timer service.' },
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Use the timer service.' },
        { object: 'performance', property: 'now', message: 'Use the timer service.' },
        { object: 'Math', property: 'random', message: 'Use the random source.' },
      ],
    },
  },
  {
    files: ['**/*.ts'],
    ignores: ['platform/**', 'stand_in/**', '**/*_test.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: `Literal[value=${platformWords}]`, message: 'Decode it in platform/.' },
      ],
    },
  },
  {
    files: [
      'placement/**',
      'guard/**',
      'contract/**',
      'failure_domain/**',
      'instance/**',
      'entry/**',
      'timer/**',
    ],
    rules: { 'no-restricted-imports': ['error', { paths: transports }] },
  },
);
