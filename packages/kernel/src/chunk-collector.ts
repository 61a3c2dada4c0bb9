/**
 * Collects the chunks of a message in blocks. A chunk of its own would cost an object whatever its
 * size, and one growing buffer would take up to twice its bytes.
 */
export interface ChunkCollector {
  append(chunk: Buffer): void;
  length(): number;
  /** Memory that the blocks occupy. */
  capacity(): number;
  /** Returns the collected bytes in a buffer of their size, and keeps nothing. */
  take(): Buffer;
}

const FIRST_BLOCK_BYTES = 1024;
const LARGEST_BLOCK_BYTES = 16 * 1024;

/** Blocks are no larger than what is expected, as long as no more arrives. */
export function createChunkCollector(expectedBytes: number): ChunkCollector {
  let blocks: Buffer[] = [];
  let length = 0;
  let capacity = 0;
  /** Bytes in use of the last block. */
  let used = 0;

  function addBlock(neededBytes: number): Buffer {
    const usual = Math.min(Math.max(capacity, FIRST_BLOCK_BYTES), LARGEST_BLOCK_BYTES);
    const expected = expectedBytes - length;
    const size = expected > 0 ? Math.min(Math.max(usual, neededBytes), expected) : usual;
    const block = Buffer.allocUnsafeSlow(Math.min(size, LARGEST_BLOCK_BYTES));
    blocks.push(block);
    capacity += block.length;
    used = 0;
    return block;
  }

  return {
    append(chunk) {
      for (let position = 0; position < chunk.length;) {
        const last = blocks.at(-1);
        const block =
          last !== undefined && used < last.length ? last : addBlock(chunk.length - position);
        const copied = chunk.copy(block, used, position);
        used += copied;
        length += copied;
        position += copied;
      }
    },
    length: () => length,
    capacity: () => capacity,
    take() {
      const isExact = blocks.length === 1 && length === capacity;
      const bytes = isExact ? blocks[0] : Buffer.concat(blocks, length);
      blocks = [];
      length = 0;
      capacity = 0;
      used = 0;
      return bytes;
    },
  };
}
