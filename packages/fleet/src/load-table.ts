/**
 * The newest load of every rank that an entry has heard of, from its sidecar or from another
 * entry, and where the directly heard ranks are.
 */
import type { InstanceName, RankState, SummarizedRank } from './message.js';
import type { RankLoad } from './pack-loads.js';

export interface LoadTable {
  /** Number of ranks with a known load. */
  size(): number;
  /** Takes a sidecar's own report. True when it opens or breaks the group as known so far. */
  onReport(from: InstanceName, state: RankState): boolean;
  /** Takes loads that another entry relays; `isAdopted` where its zone took these ranks over. */
  onRelayed(loads: readonly RankLoad[], isAdopted: boolean): RelayedLoads;
  /** Loads reported directly, of sidecars that pass the filter. */
  direct(isWanted: (sidecar: InstanceName) => boolean): RankLoad[];
  /** Loads that this zone tells other zones: reported directly or adopted. */
  local(): RankLoad[];
  /** All loads, however they were learned. */
  all(): RankLoad[];
  /** Ranks of a group whose sidecars report directly. */
  ranksOf(group: string): SummarizedRank[];
  /** Drops what is too old to be told. */
  removeExpired(): void;
}

export interface RelayedLoads {
  /** Those that are newer than what was known. */
  readonly newer: readonly RankLoad[];
  /** Whether one of them opens or breaks its group as known so far. */
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

/** A load that was not repeated for this long says nothing any more. */
const LOAD_LIFETIME_MILLISECONDS = 1500;
/** Where a rank is holds for longer: reports of a sidecar may be lost. */
const RECORD_LIFETIME_MILLISECONDS = 3000;
/** Ages are told in steps; a relayed load within one step is the same one. */
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
      const { group, rank, epoch, isOpen, running, waiting } = state;
      const load = { group, rank, epoch, isOpen, running, waiting };
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
