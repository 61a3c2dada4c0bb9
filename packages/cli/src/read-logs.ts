/**
 * Reads processes' log files for the commands that need no entry: on-call engineers often have
 * nothing but logs.
 */
import { readFileSync } from 'node:fs';

import { LapisError, ResultCode } from '@lapisbridge/errors';
import { readLogLines } from '@lapisbridge/log-story';
import type { LogLine } from '@lapisbridge/log-story';

function readText(name: string): string {
  try {
    return readFileSync(name, 'utf8');
  } catch (thrown) {
    throw new LapisError(ResultCode.LogsUnreadable, `${name}: ${String(thrown)}`);
  }
}

/** Throws a `LapisError` when a file cannot be read, or when none holds a log line. */
export function readLogs(files: readonly string[]): readonly LogLine[] {
  if (files.length === 0) {
    throw new LapisError(ResultCode.LogsUnreadable, 'no log file is named');
  }
  const { lines, skipped } = readLogLines(files.map((name) => ({ name, text: readText(name) })));
  if (lines.length === 0) {
    throw new LapisError(
      ResultCode.LogsUnreadable,
      `no log line among ${skipped} lines of ${files.join(', ')}`,
    );
  }
  return lines;
}
