/**
 * `npm run soak -- [--seed N] [--runs N] [--seconds N] [--entries N] [--ranks N]
 * [--programs FOLDER] [--scheme current|former]`: plays drawn faults on real processes and prints a line for each run; exit
 * code 1 when a promise was broken. Other programs than the bundled ones show what it finds.
 */
import { resolve } from 'node:path';
import { parseArgs } from 'node:util';

import { killPrograms } from './program.js';
import { DrawScheme } from './plan-faults.js';
import { runSoak } from './run-soak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '10' },
    entries: { type: 'string', default: '3' },
    ranks: { type: 'string', default: '4' },
    programs: { type: 'string' },
    scheme: { type: 'string', default: DrawScheme.Current },
  },
});

function wholeNumber(name: keyof typeof values): number {
  const value = Number(values[name]);
  if (!Number.isInteger(value) || value <= 0) {
    process.stderr.write(`--${name} must be a whole number above 0, and is "${values[name]}"\n`);
    process.exit(2);
  }
  return value;
}

const SCHEMES: ReadonlyMap<string, DrawScheme> = new Map(
  Object.values(DrawScheme).map((scheme) => [scheme, scheme]),
);
const scheme = SCHEMES.get(values.scheme);
if (scheme === undefined) {
  const known = [...SCHEMES.keys()].join(', ');
  process.stderr.write(`--scheme must be one of ${known}, and is "${values.scheme}"\n`);
  process.exit(2);
}

// Programs that outlive their run hold the addresses of a later one.
for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    killPrograms();
    process.exit(1);
  });
}

/** Loopback networks that runs take by turns. */
const NETWORKS = 200;

const first = wholeNumber('seed');
let broken = 0;
for (let seed = first; seed < first + wholeNumber('runs'); seed += 1) {
  const result = await runSoak({
    seed,
    milliseconds: wholeNumber('seconds') * 1000,
    scheme,
    entries: wholeNumber('entries'),
    ranks: wholeNumber('ranks'),
    network: 10 + (seed % NETWORKS),
    ...(values.programs === undefined ? {} : { programs: resolve(values.programs) }),
  });
  const { served, sent, faults, violations, mapVersion, folder } = result;
  if (violations.length > 0) broken += 1;
  const verdict = violations.length === 0 ? 'kept' : `BROKEN ${violations.slice(0, 5).join('; ')}`;
  const where = violations.length === 0 ? '' : ` logs in ${folder}`;
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${served} of ${sent} served, map ${mapVersion}, ${verdict}${where}\n`,
  );
}
process.exit(broken === 0 ? 0 : 1);
