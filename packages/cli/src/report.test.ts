import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';

import { beforeEach, describe, expect, it } from 'vitest';

import { createCli } from './index.js';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'lapisbridge-report-'));
});

async function run(...words: string[]): Promise<{ status: number; out: string; error: string }> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const status = await createCli().run(['report', ...words], { stdout, stderr });
  const read = (stream: PassThrough): string => String(stream.read() ?? '');
  return { status, out: read(stdout), error: read(stderr) };
}

function writeLog(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const ANSWER = JSON.stringify({
  time: '2026-05-04T08:00:00.000Z',
  instance: 'entry-1',
  event: 'decision',
  kind: 'answer',
  subject: 'a',
  choice: 'server-1',
  facts: { status: 200, isOnTime: true, isRetry: false, route: 'drafts', milliseconds: 9 },
});

describe('lapisbridge report', () => {
  it('skips what is no log line, and tells how many', async () => {
    const log = writeLog('entry.log', `torn {"time"\n${ANSWER}\n\nnothing\n`);
    const { status, out } = await run('--logs', log, '--json');
    expect(status).toBe(0);
    expect(JSON.parse(out)).toMatchObject({ asked: 1, skipped: 2, counts: { inTime: 1 } });
  });

  it('writes its three forms into a folder', async () => {
    const out = join(folder, 'out');
    expect((await run('--out', out, '--logs', writeLog('entry.log', ANSWER))).status).toBe(0);
    expect(readFileSync(join(out, 'report.md'), 'utf8')).toContain('# What callers got');
    expect(readFileSync(join(out, 'report.html'), 'utf8')).toContain('<svg');
    expect(JSON.parse(readFileSync(join(out, 'report.json'), 'utf8'))).toMatchObject({ asked: 1 });
  });

  it.each([
    ['no file', [], 'no log file is named'],
    ['a file that is not there', ['--logs', '/nowhere/entry.log'], '/nowhere/entry.log'],
    ['a wrong time', ['--from', 'noon', '--logs', 'x'], '--from: noon is no time'],
    [
      'times that are swapped',
      ['--from', '2026-05-04T09:00:00Z', '--to', '2026-05-04T08:00:00Z', '--logs', 'x'],
      '--from is later than --to',
    ],
  ])('names what is wrong with %s', async (_, words, message) => {
    const { status, error } = await run(...words);
    expect(status).not.toBe(0);
    expect(error).toContain(message);
  });

  it('refuses a file without any log line', async () => {
    const { status, error } = await run('--logs', writeLog('other.txt', 'hello\n'));
    expect(status).toBe(72);
    expect(error).toContain('no log line in');
  });
});
