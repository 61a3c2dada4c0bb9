import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { expect, it } from 'vitest';

const ROOT = new URL('../../../', import.meta.url);

/** What runs on the users' platform: nothing there may know where it runs. */
const FOLDERS: readonly string[] = [
  ...[
    'catalog',
    'direct-entry',
    'fleet',
    'forwarding',
    'group-leader',
    'group-sidecar',
    'json-call',
    'kernel',
    'logger',
    'metrics',
    'placement',
    'process-life',
    'routing',
  ].map((name) => `packages/${name}/src/`),
  'platform/src/',
];

/** Names of the deployments that are known, of their zones, and of what plays them. */
const DEPLOYMENT =
  /bengal|kolkata|chairshare|brno|revize|hasic|p[aâ]nzaria|cz-central|fleetbench/iu;

/** Where the time of day is read, and why a jump of it changes no decision. */
const CLOCK_READERS: Readonly<Record<string, string>> = {
  'packages/group-leader/src/group-leader.ts': 'a jump within a look makes the leader look again',
  'packages/fleet/src/datagram-link.ts':
    'first number of a life; silence makes way for a lower one',
  'packages/logger/src/index.ts': 'time of a line',
};

interface Source {
  readonly path: string;
  readonly text: string;
}

function readSources(): Source[] {
  const sources: Source[] = [];
  for (const folder of FOLDERS) {
    for (const name of readdirSync(new URL(folder, ROOT))) {
      if (!name.endsWith('.ts') || name.endsWith('.test.ts')) continue;
      const path = `${folder}${name}`;
      sources.push({ path, text: readFileSync(fileURLToPath(new URL(path, ROOT)), 'utf8') });
    }
  }
  return sources;
}

it('names no deployment, so that nothing is decided by where it runs', () => {
  // A figure that was found at one customer and tied to its name serves nobody else, and nobody
  // would notice until the next customer's answers are late.
  const found = readSources().filter(({ text }) => DEPLOYMENT.test(text));
  expect(found.map(({ path }) => path)).toEqual([]);
});

it('reads the time of day only where a jump of it changes no decision', () => {
  // The time of day may jump by an hour and back. Whoever measures a wait or a lease by it keeps
  // callers for an hour, or gives up a lease that has not lapsed.
  const readers = readSources().filter(({ text }) => /Date\.now\(|new Date\(\)/u.test(text));
  expect(readers.map(({ path }) => path).sort()).toEqual(Object.keys(CLOCK_READERS).sort());
});
