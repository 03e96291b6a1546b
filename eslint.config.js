import tseslint from 'typescript-eslint';

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
      'tooling/bundle.js',
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
