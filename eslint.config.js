/**
 * Airbnb's rules, with the house style before them: docs/DECISIONS.md says where they clash.
 */
import { fileURLToPath } from 'node:url';

import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'out/**', 'target/**', 'packages/*/bin/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    // Settings, documents and certificates are read once, at the start.
    rules: { 'n/no-sync': 'off' },
  },
  {
    // The build of the platform's programs runs from the repository, never from a package.
    files: ['deploy/*.js'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
  {
    files: ['**/*.ts'],
    rules: {
      // House style: for…of with early exits, awaits in loops where order is the point.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'for…in also visits inherited keys: use for…of.' },
        { selector: 'WithStatement', message: 'with makes scope unclear.' },
      ],
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // `void` marks a promise whose failure is handled inside it.
      'no-void': 'off',
      'n/no-process-exit': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      // House style: type imports stand apart from value imports of the same module.
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports' }],
      'import-x/no-duplicates': ['error', { 'prefer-inline': false }],
      'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
      // House style: named exports, one main function a package, helpers beside it.
      'import-x/prefer-default-export': 'off',
      // TypeScript with NodeNext resolves and checks these; the sources say `.js`.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      // Test and build tools are named in the root manifest of the workspace.
      'import-x/no-extraneous-dependencies': [
        'error',
        { packageDir: [fileURLToPath(new URL('.', import.meta.url))], devDependencies: true },
      ],
      // Functions and small closures call each other; types and classes still come first.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      // Records are filled field by field where state is kept.
      'no-param-reassign': ['error', { props: false }],
      'max-classes-per-file': 'off',
    },
  },
];
