/**
 * Bundles each program into one file under target/: one file starts faster and takes less
 * memory than the packages read one by one.
 */
import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));
const packages = readdirSync(`${root}/packages`);
const alias = Object.fromEntries(
  packages.map((name) => [`@lapisbridge/${name}`, `${root}/packages/${name}/src/index.ts`]),
);

await build({
  absWorkingDir: root,
  entryPoints: {
    entry: 'platform/src/entry.ts',
    sidecar: 'platform/src/sidecar.ts',
  },
  outdir: 'target',
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  alias,
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
