/**
 * Collects the bytes of a message that arrives in pieces. The pieces are copied into one growing
 * buffer: a server that sends single bytes would otherwise cost an object for each of them.
 */
export interface ByteCollector {
  append(chunk: Buffer): void;
  length(): number;
  /** The byte at this distance from the end, 0 for the last one; undefined before the start. */
  fromEnd(distance: number): number | undefined;
  /** Returns the collected bytes and starts anew. */
  take(): Buffer;
}

const INITIAL_CAPACITY_BYTES = 1024;

export function createByteCollector(): ByteCollector {
  let buffer: Buffer = Buffer.alloc(0);
  let length = 0;
  return {
    append(chunk) {
      const needed = length + chunk.length;
      if (needed > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(
          Math.max(needed, buffer.length * 2, INITIAL_CAPACITY_BYTES),
        );
        buffer.copy(grown, 0, 0, length);
        buffer = grown;
      }
      chunk.copy(buffer, length);
      length = needed;
    },
    length: () => length,
    fromEnd: (distance) => (distance < length ? buffer[length - 1 - distance] : undefined),
    take() {
      const taken = buffer.subarray(0, length);
      buffer = Buffer.alloc(0);
      length = 0;
      return taken;
    },
  };
}
