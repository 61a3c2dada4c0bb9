import { existsSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { sleep } from '@lapisbridge/kernel';
import { expect, it, vi } from 'vitest';

import { createProgram, killPrograms } from './program.js';

it('starts nothing again once its run has ended', async () => {
  // A process ends, and its run ends before it is started again. One that came back afterwards
  // would hold the addresses of a later run, whose own process could then never start.
  const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-program-'));
  const file = join(folder, 'program.cjs');
  const starts = join(folder, 'starts');
  writeFileSync(file, `require('fs').appendFileSync('${starts}', 'started ');\n`);
  let ended: () => void = () => undefined;
  const firstEnd = new Promise<void>((resolve) => {
    ended = resolve;
  });
  const program = createProgram({
    name: 'program',
    file,
    folder,
    settings: {},
    onOwnEnd: () => ended(),
  });
  program.start();
  await firstEnd;
  await program.end();
  await sleep(900);
  expect(readFileSync(starts, 'utf8')).toBe('started ');
});

it('leaves no program behind when a run is told to stop', async () => {
  // Guards against processes that hold the addresses of a later run.
  const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-program-'));
  const file = join(folder, 'program.cjs');
  const started = join(folder, 'started');
  writeFileSync(
    file,
    `require('fs').writeFileSync('${started}', ''); setInterval(() => {}, 1e6);\n`,
  );
  let ended = false;
  const program = createProgram({
    name: 'program',
    file,
    folder,
    settings: {},
    onOwnEnd() {
      ended = true;
    },
  });
  program.start();
  await vi.waitFor(() => expect(existsSync(started)).toBe(true), { timeout: 60_000 });
  killPrograms();
  await vi.waitFor(() => expect(ended).toBe(true), { timeout: 60_000 });
  await program.end();
});
