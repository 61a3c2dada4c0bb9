/**
 * What this sidecar has heard of the other ranks of its group, and where they are.
 */
import type { RankAddress, RankTarget, SidecarState } from '@lapisbridge/group-leader';
import type { RankReport } from '@lapisbridge/placement';

export interface KnownRanks {
  heard(host: string, state: SidecarState): void;
  /** Where each rank and its sidecar are, by rank. */
  targets(): ReadonlyMap<number, RankTarget>;
  /** Last reports of the ranks that were heard lately. */
  reports(): ReadonlyMap<number, RankReport>;
}

interface HeardRank {
  readonly state: SidecarState;
  readonly host: string;
  readonly at: number;
}

/** A rank that was not heard for this long has no state worth believing. */
const HEARD_MILLISECONDS = 1500;

export function createKnownRanks(sidecarPort: number, now: () => number): KnownRanks {
  const ranks = new Map<number, HeardRank>();
  const sidecarAt = (host: string): RankAddress => ({ host, port: sidecarPort });
  return {
    heard(host, state) {
      ranks.set(state.report.rank, { state, host, at: now() });
    },
    targets() {
      const known = new Map<number, RankTarget>();
      for (const [rank, { state, host }] of ranks) {
        known.set(rank, { sidecar: sidecarAt(host), backendServer: state.backendServer });
      }
      return known;
    },
    reports() {
      const reports = new Map<number, RankReport>();
      for (const [rank, { state, at }] of ranks) {
        if (now() - at < HEARD_MILLISECONDS) reports.set(rank, state.report);
      }
      return reports;
    },
  };
}
