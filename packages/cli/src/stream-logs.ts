/**
 * Reads log files line by line, however large, and tells how far it is.
 */
import { createReadStream, statSync } from 'node:fs';
import { createInterface } from 'node:readline';

import { LapisError, ResultCode } from '@lapisbridge/errors';
import { readLogLine } from '@lapisbridge/log-story';
import type { LogLine } from '@lapisbridge/log-story';

export interface LogListener {
  onLine(line: LogLine): void;
  /** A line that is no log line. */
  onSkipped(): void;
  onProgress(readBytes: number, totalBytes: number): void;
}

/** Bytes between two words of progress: some seconds of work. */
const PROGRESS_BYTES = 64 * 1024 * 1024;

function sizeOf(name: string): number {
  try {
    return statSync(name).size;
  } catch (thrown) {
    throw new LapisError(ResultCode.LogsUnreadable, `${name}: ${String(thrown)}`);
  }
}

/** Throws a `LapisError` when no file is named, one cannot be read, or none holds a log line. */
export async function streamLogs(files: readonly string[], listener: LogListener): Promise<void> {
  if (files.length === 0) throw new LapisError(ResultCode.LogsUnreadable, 'no log file is named');
  const totalBytes = files.reduce((sum, name) => sum + sizeOf(name), 0);
  let readBytes = 0;
  let toldBytes = 0;
  let lines = 0;
  for (const name of files) {
    try {
      const input = createReadStream(name);
      for await (const row of createInterface({ input, crlfDelay: Infinity })) {
        readBytes += Buffer.byteLength(row) + 1;
        if (row.trim() === '') continue;
        const line = readLogLine(row);
        if (line === undefined) listener.onSkipped();
        else {
          lines += 1;
          listener.onLine(line);
        }
        if (readBytes - toldBytes >= PROGRESS_BYTES) {
          toldBytes = readBytes;
          listener.onProgress(readBytes, totalBytes);
        }
      }
    } catch (thrown) {
      throw new LapisError(ResultCode.LogsUnreadable, `${name}: ${String(thrown)}`);
    }
  }
  if (lines > 0) return;
  throw new LapisError(ResultCode.LogsUnreadable, `no log line in ${files.join(', ')}`);
}
