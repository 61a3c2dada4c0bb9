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

/** Unit tests run from the sources; whole-process tests start the built daemons. */
export default defineConfig({
  resolve: { alias },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: 120_000,
    hookTimeout: 120_000,
    maxWorkers: 4,
    // Its ES modules import folders, which only a bundler resolves.
    server: { deps: { inline: ['clipanion'] } },
    reporters: ['default', './packages/test-support/src/plain-summary-reporter.ts'],
  },
});
