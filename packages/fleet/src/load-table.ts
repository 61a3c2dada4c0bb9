/**
 * Keeps the latest known load of every rank, whether reported by its sidecar or relayed by another
 * entry, and the addresses of the ranks that report directly.
 */
import type { InstanceName, RankState, SummarizedRank } from './message.js';
import type { RankLoad } from './pack-loads.js';

export interface LoadTable {
  /** Number of ranks with a known load. */
  size(): number;
  /** Records a sidecar's own report. Returns whether the rank's open state or epoch changed. */
  onReport(from: InstanceName, state: RankState): boolean;
  /**
   * Records relayed loads. `isAdopted` marks ranks of another zone without delegates, which report
   * to an entry of this zone instead.
   */
  onRelayed(loads: readonly RankLoad[], isAdopted: boolean): RelayedLoads;
  /** Loads reported directly by sidecars that pass the filter. */
  direct(isWanted: (sidecar: InstanceName) => boolean): RankLoad[];
  /** Loads that this zone relays to other zones: reported directly, or adopted. */
  local(): RankLoad[];
  /** All loads, direct and relayed. */
  all(): RankLoad[];
  /** Ranks of a group whose sidecars report directly. */
  ranksOf(group: string): SummarizedRank[];
  /** Removes records that are too old to be relayed or listed. */
  removeExpired(): void;
}

export interface RelayedLoads {
  /** Loads newer than those known before. */
  readonly newer: readonly RankLoad[];
  /** Whether a rank's open state or epoch changed. */
  readonly isGroupStateChanged: boolean;
}

interface LoadRecord {
  readonly isLocal: boolean;
  readonly load: Omit<RankLoad, 'ageMilliseconds'>;
  readonly at: number;
}

interface DirectLoadRecord extends LoadRecord {
  readonly from: InstanceName;
  readonly state: RankState;
}

/** A load that was not refreshed for this long is no longer reported. */
const LOAD_LIFETIME_MILLISECONDS = 1500;
/** Addresses of ranks stay valid for longer than loads, since reports may be lost. */
const RECORD_LIFETIME_MILLISECONDS = 3000;
/** Ages are encoded in units of this; a relayed load within one unit is the same report. */
const AGE_RESOLUTION_MILLISECONDS = 10;

function keyOf({ group, rank }: { readonly group: string; readonly rank: number }): string {
  return `${group}\u0000${rank}`;
}

type GroupState = Pick<RankLoad, 'isOpen' | 'epoch'>;

function isStateChange(before: GroupState | undefined, after: GroupState): boolean {
  return before?.isOpen !== after.isOpen || before.epoch !== after.epoch;
}

export function createLoadTable(now: () => number): LoadTable {
  const direct = new Map<string, DirectLoadRecord>();
  const newest = new Map<string, LoadRecord>();

  function toLoads(entries: Iterable<LoadRecord>): RankLoad[] {
    const loads: RankLoad[] = [];
    for (const { load, at } of entries) {
      const ageMilliseconds = now() - at;
      if (ageMilliseconds <= LOAD_LIFETIME_MILLISECONDS) loads.push({ ...load, ageMilliseconds });
    }
    return loads;
  }

  return {
    onReport(from, state) {
      const { group, rank, epoch, isOpen, running, waiting, memoryTokens } = state;
      const load = { group, rank, epoch, isOpen, running, waiting, memoryTokens };
      const key = keyOf(state);
      const before = newest.get(key)?.load;
      const entry = { load, at: now(), isLocal: true };
      direct.set(key, { ...entry, from, state });
      newest.set(key, entry);
      return isStateChange(before, load);
    },
    onRelayed(loads, isAdopted) {
      const newer: RankLoad[] = [];
      let isGroupStateChanged = false;
      for (const { ageMilliseconds, ...load } of loads) {
        const at = now() - ageMilliseconds;
        const known = newest.get(keyOf(load));
        if (known !== undefined && at <= known.at + AGE_RESOLUTION_MILLISECONDS) continue;
        newest.set(keyOf(load), { load, at, isLocal: isAdopted });
        newer.push({ ...load, ageMilliseconds });
        if (isStateChange(known?.load, load)) isGroupStateChanged = true;
      }
      return { newer, isGroupStateChanged };
    },
    direct(isWanted) {
      const wanted: LoadRecord[] = [];
      for (const entry of direct.values()) if (isWanted(entry.from)) wanted.push(entry);
      return toLoads(wanted);
    },
    local: () => toLoads([...newest.values()].filter(({ isLocal }) => isLocal)),
    all: () => toLoads(newest.values()),
    size: () => newest.size,
    ranksOf(group) {
      const ranks: SummarizedRank[] = [];
      for (const { state, from, at } of direct.values()) {
        if (state.group !== group || now() - at > RECORD_LIFETIME_MILLISECONDS) continue;
        const { rank, backendServerPort, pace, hasPendingOrder } = state;
        ranks.push({ rank, host: from.host, backendServerPort, pace, hasPendingOrder });
      }
      return ranks;
    },
    removeExpired() {
      for (const [key, { at }] of newest) {
        if (now() - at > RECORD_LIFETIME_MILLISECONDS) newest.delete(key);
      }
      for (const [key, { at }] of direct) {
        if (now() - at > RECORD_LIFETIME_MILLISECONDS) direct.delete(key);
      }
    },
  };
}
