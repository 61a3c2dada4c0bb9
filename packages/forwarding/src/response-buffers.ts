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
  undeclaredBytes: 2 * 1024 * 1024,
  totalBytes: 12 * 1024 * 1024,
};

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
      const collector = createByteCollector();
      const buffer: OpenBuffer = {
        length: () => collector.length(),
        overflow() {
          close();
          onOverflow();
        },
      };
      openBuffers.add(buffer);

      function close(): Buffer {
        if (openBuffers.delete(buffer)) totalBytes -= collector.length();
        return collector.take();
      }

      return {
        append(chunk) {
          if (!openBuffers.has(buffer)) return;
          if (collector.length() + chunk.length > maximumBytes) {
            buffer.overflow();
            return;
          }
          collector.append(chunk);
          totalBytes += chunk.length;
          if (totalBytes > limits.totalBytes) findLargest()?.overflow();
        },
        take: close,
      };
    },
  };
}
