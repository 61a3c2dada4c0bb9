/**
 * Bounds the memory that buffered responses use together. A single response may be large, but
 * several servers that send bodies without end must not exhaust the process, so the largest
 * response is ended once the total is exceeded.
 */
import { createByteCollector } from './byte-collector.js';

export interface ResponseBuffer {
  /** Appends bytes, unless the buffer has overflowed. */
  append(chunk: Buffer): void;
  /** Returns the collected bytes and closes the buffer; has to be called when the response ends. */
  take(): Buffer;
}

export interface ResponseBuffers {
  /**
   * `declaredBytes` is the stated length of the response; undefined if it has none. `onOverflow` is
   * called once if the response exceeds its limit, or is the largest when all exceed theirs.
   */
  open(declaredBytes: number | undefined, onOverflow: () => void): ResponseBuffer;
}

export interface ResponseBufferLimits {
  readonly declaredBytes: number;
  /** Of a response without a stated length, which may have no end. */
  readonly undeclaredBytes: number;
  /** Of all responses together. */
  readonly totalBytes: number;
}

const DEFAULT_LIMITS: ResponseBufferLimits = {
  declaredBytes: 8 * 1024 * 1024,
  undeclaredBytes: 1024 * 1024,
  totalBytes: 12 * 1024 * 1024,
};

/** Larger chunks are kept as they are; smaller ones are copied, so that they cost no object each. */
const LARGE_CHUNK_BYTES = 8 * 1024;

interface OpenBuffer {
  length(): number;
  overflow(): void;
}

export function createResponseBuffers(limits = DEFAULT_LIMITS): ResponseBuffers {
  const openBuffers = new Set<OpenBuffer>();
  let totalBytes = 0;

  function findLargest(): OpenBuffer | undefined {
    let largest: OpenBuffer | undefined;
    for (const buffer of openBuffers) {
      if (largest === undefined || buffer.length() > largest.length()) largest = buffer;
    }
    return largest;
  }

  return {
    open(declaredBytes, onOverflow) {
      const maximumBytes =
        declaredBytes === undefined ? limits.undeclaredBytes : limits.declaredBytes;
      let chunks: Buffer[] = [];
      let length = 0;
      const smallChunks = createByteCollector();
      const buffer: OpenBuffer = {
        length: () => length,
        overflow() {
          discard();
          onOverflow();
        },
      };
      openBuffers.add(buffer);

      function joinSmallChunks(): void {
        if (smallChunks.length() > 0) chunks.push(smallChunks.take());
      }

      function close(): Buffer {
        if (openBuffers.delete(buffer)) totalBytes -= length;
        joinSmallChunks();
        const bytes = Buffer.concat(chunks);
        chunks = [];
        length = 0;
        return bytes;
      }

      function discard(): void {
        openBuffers.delete(buffer);
        totalBytes -= length;
        chunks = [];
        smallChunks.take();
        length = 0;
      }

      return {
        append(chunk) {
          if (!openBuffers.has(buffer)) return;
          if (length + chunk.length > maximumBytes) {
            buffer.overflow();
            return;
          }
          if (chunk.length < LARGE_CHUNK_BYTES) {
            smallChunks.append(chunk);
          } else {
            joinSmallChunks();
            chunks.push(chunk);
          }
          length += chunk.length;
          totalBytes += chunk.length;
          if (totalBytes > limits.totalBytes) findLargest()?.overflow();
        },
        take: close,
      };
    },
  };
}
