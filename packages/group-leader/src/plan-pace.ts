/**
 * How often a sidecar tells whom, by the size of its group. Every rank tells the leader and
 * every entry; with a fixed pace what these receive grows with the group, until a small
 * instance does nothing but read. So paces grow with the group, and whoever receives gets about
 * the same number of datagrams from a large group as from one of thirty ranks. Pure.
 */
export interface TellingPace {
  /** To entries, and from a leader to the other ranks, in milliseconds. */
  readonly beat: number;
  /** To the leader, with the counts, in milliseconds. */
  readonly counts: number;
  /** To ranks that do not lead: they only have to learn each other's addresses. */
  readonly acquaintance: number;
}

/** Loads are told to entries this often at most, and a leader's silence is counted in these. */
const BEAT_MILLISECONDS = 160;
/** While a shift of the demand is not noticed every stream is late. */
const COUNTS_MILLISECONDS = 100;
/** About 200 datagrams a second for a leader or an entry. */
const MILLISECONDS_PER_RANK = 5;
/** About a dozen datagrams a second for any other rank. */
const ACQUAINTANCE_MILLISECONDS_PER_RANK = 80;

export function planPace(groupSize: number): TellingPace {
  return {
    beat: Math.max(BEAT_MILLISECONDS, groupSize * MILLISECONDS_PER_RANK),
    counts: Math.max(COUNTS_MILLISECONDS, groupSize * MILLISECONDS_PER_RANK),
    acquaintance: Math.max(BEAT_MILLISECONDS, groupSize * ACQUAINTANCE_MILLISECONDS_PER_RANK),
  };
}
