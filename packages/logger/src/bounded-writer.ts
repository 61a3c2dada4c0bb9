/**
 * Writes log lines without ever holding up the loop. Standard output may be a pipe that nobody
 * reads: a plain write then blocks the whole process, which shows as requests that stand still
 * everywhere at once. Lines are gathered, written by a thread of the pool, one write at a time,
 * and dropped, counted, when too many wait.
 */
import { write } from 'node:fs';

export interface BoundedWriter {
  write(line: string): void;
  /** Writes what waits, for the end of the process. */
  flush(): Promise<void>;
  dropped(): number;
}

const STANDARD_OUTPUT = 1;
/** A tenth of a second of lines costs one write. */
const GATHER_MILLISECONDS = 100;
/** Bytes that may wait: some seconds of a busy instance. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024;

export function createBoundedWriter(descriptor = STANDARD_OUTPUT): BoundedWriter {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let toldDropped = 0;
  let timer: NodeJS.Timeout | undefined;
  let writing: Promise<void> | undefined;

  function writeAll(bytes: Buffer, done: () => void): void {
    write(descriptor, bytes, (error, written) => {
      if (error !== null && error.code === 'EAGAIN') {
        setTimeout(() => writeAll(bytes, done), GATHER_MILLISECONDS);
      } else if (error !== null || written >= bytes.length) {
        done();
      } else {
        writeAll(bytes.subarray(written), done);
      }
    });
  }

  async function drain(): Promise<void> {
    while (waiting.length > 0) {
      if (dropped > toldDropped) {
        waiting.push(`{"event":"log lines dropped","count":${dropped - toldDropped}}\n`);
        toldDropped = dropped;
      }
      const bytes = Buffer.from(waiting.join(''));
      waiting = [];
      waitingBytes = 0;
      await new Promise<void>((resolve) => {
        writeAll(bytes, resolve);
      });
    }
  }

  function start(): Promise<void> {
    writing ??= drain().finally(() => {
      writing = undefined;
    });
    return writing;
  }

  return {
    write(line) {
      if (waitingBytes + line.length > MAXIMUM_WAITING_BYTES) {
        dropped += 1;
        return;
      }
      waiting.push(line);
      waitingBytes += line.length;
      timer ??= setTimeout(() => {
        timer = undefined;
        void start();
      }, GATHER_MILLISECONDS);
    },
    async flush() {
      clearTimeout(timer);
      timer = undefined;
      await writing;
      await start();
    },
    dropped: () => dropped,
  };
}
