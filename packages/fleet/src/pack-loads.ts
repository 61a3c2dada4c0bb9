/**
 * Compact encoding of rank loads. A digest with the loads of all ranks of all groups goes to every
 * entry of a zone several times a second, so each rank takes only a few bytes.
 */
export interface RankLoad {
  readonly group: string;
  readonly rank: number;
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly running: number;
  readonly waiting: number;
  /** Tokens that the server's memory holds; undefined if it does not state them. */
  readonly memoryTokens?: number | undefined;
  /** Milliseconds since the rank's sidecar reported this. */
  readonly ageMilliseconds: number;
}

/** Ranks of one group in the same epoch and state, with equal memory. */
export interface LoadBucket {
  readonly group: string;
  readonly epoch: number;
  readonly isOpen: boolean;
  readonly memoryTokens?: number | undefined;
  /**
   * Base64 of four bytes per rank: difference to the previous rank, running, waiting, and age in
   * units of 10 ms. Running, waiting and age are capped at 255.
   */
  readonly ranks: string;
}

const BYTES_PER_RANK = 4;
const MAXIMUM_BYTE = 255;
const MILLISECONDS_PER_AGE_UNIT = 10;

function toByte(value: number): number {
  return Math.max(0, Math.min(MAXIMUM_BYTE, Math.round(value)));
}

function packBucket(loads: readonly RankLoad[]): string {
  const bytes: number[] = [];
  let previousRank = -1;
  for (const load of [...loads].sort((left, right) => left.rank - right.rank)) {
    let distance = load.rank - previousRank;
    // A record with the maximum distance only advances the rank and carries no load.
    for (; distance >= MAXIMUM_BYTE; distance -= MAXIMUM_BYTE) {
      bytes.push(MAXIMUM_BYTE, 0, 0, 0);
    }
    const ageUnits = toByte(load.ageMilliseconds / MILLISECONDS_PER_AGE_UNIT);
    bytes.push(distance, toByte(load.running), toByte(load.waiting), ageUnits);
    previousRank = load.rank;
  }
  return Buffer.from(bytes).toString('base64');
}

export function packLoads(loads: readonly RankLoad[]): LoadBucket[] {
  const buckets = new Map<string, RankLoad[]>();
  for (const load of loads) {
    const key = JSON.stringify([load.group, load.epoch, load.isOpen, load.memoryTokens]);
    const bucket = buckets.get(key);
    if (bucket === undefined) buckets.set(key, [load]);
    else bucket.push(load);
  }
  const packed: LoadBucket[] = [];
  for (const bucket of buckets.values()) {
    const [first] = bucket;
    if (first === undefined) continue;
    const { group, epoch, isOpen, memoryTokens } = first;
    packed.push({ group, epoch, isOpen, memoryTokens, ranks: packBucket(bucket) });
  }
  return packed;
}

export function unpackLoads(buckets: readonly LoadBucket[]): RankLoad[] {
  const loads: RankLoad[] = [];
  for (const { group, epoch, isOpen, memoryTokens, ranks } of buckets) {
    const bytes = Buffer.from(ranks, 'base64');
    let rank = -1;
    for (let offset = 0; offset + BYTES_PER_RANK <= bytes.length; offset += BYTES_PER_RANK) {
      const distance = bytes[offset] ?? 0;
      rank += distance;
      if (distance === MAXIMUM_BYTE) continue;
      loads.push({
        group,
        rank,
        epoch,
        isOpen,
        running: bytes[offset + 1] ?? 0,
        waiting: bytes[offset + 2] ?? 0,
        memoryTokens,
        ageMilliseconds: (bytes[offset + 3] ?? 0) * MILLISECONDS_PER_AGE_UNIT,
      });
    }
  }
  return loads;
}
