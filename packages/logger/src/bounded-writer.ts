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
/**
 * Bytes of one write, whole lines. A pipe takes a write of up to 4,096 bytes in one piece; of a
 * larger one a reader may get a part, and the lines that were cut are lost or mixed with those
 * of other processes just in the busy moments that one wants to look at.
 */
const PIECE_BYTES = 4096;
/** Bytes that may wait: some seconds of a busy instance. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024;

/** Whole lines, as many a piece as fit; a longer line is a piece of its own. */
export function cutIntoPieces(lines: readonly string[]): Buffer[] {
  const pieces: Buffer[] = [];
  let gathered: Buffer[] = [];
  let size = 0;
  for (const line of lines) {
    const bytes = Buffer.from(line);
    if (size > 0 && size + bytes.length > PIECE_BYTES) {
      pieces.push(Buffer.concat(gathered));
      gathered = [];
      size = 0;
    }
    gathered.push(bytes);
    size += bytes.length;
  }
  if (size > 0) pieces.push(Buffer.concat(gathered));
  return pieces;
}

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
      const pieces = cutIntoPieces(waiting);
      waiting = [];
      waitingBytes = 0;
      for (const piece of pieces) {
        await new Promise<void>((resolve) => {
          writeAll(piece, resolve);
        });
      }
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
