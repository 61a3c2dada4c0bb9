/**
 * A group's map packed for its way to the ranks. Every rank is sent the whole map, and as plain
 * JSON the maps for 63 ranks take a small instance's link for a second, in which all streams
 * are late; packed they take a third of that.
 */
import type { GroupMap } from '@lapisbridge/placement';

export interface PackedMap {
  readonly ranks: number;
  /** Bytes for each expert. */
  readonly width: number;
  /** For each set, base64 of each rank's number of experts followed by these. */
  readonly sets: readonly string[];
}

const NARROW_EXPERTS = 256;
const WIDE_BYTES = 2;

export function packMap(map: GroupMap): PackedMap {
  let highest = 0;
  for (const { experts } of map.sets) {
    for (const held of experts) for (const expert of held) highest = Math.max(highest, expert);
  }
  const width = highest < NARROW_EXPERTS ? 1 : WIDE_BYTES;
  const sets = map.sets.map(({ experts }) => {
    const numbers: number[] = [];
    for (const held of experts) numbers.push(held.length, ...held);
    const bytes = Buffer.alloc(numbers.length * width);
    for (const [index, value] of numbers.entries()) bytes.writeUIntLE(value, index * width, width);
    return bytes.toString('base64');
  });
  return { ranks: map.sets[0]?.experts.length ?? 0, width, sets };
}

/** Undefined where the bytes are not those of a map for that many ranks. */
export function unpackMap(packed: PackedMap): GroupMap | undefined {
  const { ranks, width } = packed;
  const sets: GroupMap['sets'][number][] = [];
  for (const text of packed.sets) {
    const bytes = Buffer.from(text, 'base64');
    const experts: number[][] = [];
    let offset = 0;
    while (offset + width <= bytes.length && experts.length < ranks) {
      const count = bytes.readUIntLE(offset, width);
      offset += width;
      if (offset + count * width > bytes.length) return undefined;
      const held: number[] = [];
      for (let index = 0; index < count; index += 1) {
        held.push(bytes.readUIntLE(offset + index * width, width));
      }
      offset += count * width;
      experts.push(held);
    }
    if (experts.length !== ranks || offset !== bytes.length) return undefined;
    sets.push({ experts });
  }
  return { sets };
}
