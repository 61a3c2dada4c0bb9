/**
 * Decides whether the rest can carry what a planned drain would move onto it.
 */
import type { InstanceRecord, LoadReport } from '@lapisbridge/types';

export interface LoadedServer {
  readonly record: InstanceRecord;
  readonly load: LoadReport;
  /** Configuration version in force there. */
  readonly version: number;
}

export interface Shortfall {
  /** Model or service that the rest could not carry. */
  readonly name: string;
  readonly needed: number;
  readonly left: number;
}

/** Share of the remaining capacity that may be filled; the rest is needed for drift. */
const USABLE_SHARE = 0.9;

/**
 * Names of the document whose requests in progress would not fit on the servers that stay. A
 * server of a name that the document does not serve carries nothing that could be missed.
 */
export function planDrainCheck(
  servers: readonly LoadedServer[],
  servedNames: ReadonlySet<string>,
  isLeaving: (record: InstanceRecord) => boolean,
): readonly Shortfall[] {
  const needed = new Map<string, number>();
  const left = new Map<string, number>();
  for (const { record, load } of servers) {
    for (const name of record.backendServer?.names ?? []) {
      if (!servedNames.has(name)) continue;
      needed.set(name, (needed.get(name) ?? 0) + load.running + load.queued);
      const stays = !isLeaving(record) && !load.draining;
      left.set(name, (left.get(name) ?? 0) + (stays ? load.limit : 0));
    }
  }
  const shortfalls: Shortfall[] = [];
  for (const [name, count] of needed) {
    const capacity = left.get(name) ?? 0;
    if (capacity === 0 || count > capacity * USABLE_SHARE) {
      shortfalls.push({ name, needed: count, left: capacity });
    }
  }
  return shortfalls;
}
