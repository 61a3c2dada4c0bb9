import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { defineConfig } from 'vitest/config';

const packages = fileURLToPath(new URL('packages/', import.meta.url));
const alias = Object.fromEntries(
  readdirSync(packages).map((name) => [`@lapisbridge/${name}`, `${packages}${name}/src/index.ts`]),
);
alias['@lapisbridge/users-platform'] = fileURLToPath(
  new URL('platform/src/stand-ins/index.ts', import.meta.url),
);

const CROWDS = '{packages/*,platform}/src/**/*.crowd.test.ts';

const shared = {
  testTimeout: 120_000,
  hookTimeout: 120_000,
  // Its ES modules import folders, which only a bundler resolves.
  server: { deps: { inline: ['clipanion'] } },
};

/** Unit tests run from the sources; whole-process tests start the built daemons. */
export default defineConfig({
  test: {
    reporters: ['default', './packages/test-support/src/plain-summary-reporter.ts'],
    projects: [
      {
        resolve: { alias },
        test: {
          ...shared,
          name: 'tests',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [CROWDS, '**/node_modules/**', '**/dist/**'],
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        resolve: { alias },
        test: {
          ...shared,
          name: 'crowds',
          include: [CROWDS],
          exclude: ['**/node_modules/**', '**/dist/**'],
          // Crowds bound the memory and descriptors of processes, so they run alone.
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
