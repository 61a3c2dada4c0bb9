/**
 * Reporting intervals of a sidecar, by the size of its group. In a large group an entry of each
 * availability zone sums the counts of its ranks before they are sent to the leader, whose link
 * they would otherwise saturate. Pure.
 */
export interface ReportingIntervals {
  /** Between reads of the rank's own report from its engine. */
  readonly reportMilliseconds: number;
  /** Between reads of the rank's own report while the group is idle. */
  readonly idleReportMilliseconds: number;
  /** Between reports to each entry that subscribed to every report. */
  readonly entryReportMilliseconds: number;
  /** Between reads of the rank's expert counts. */
  readonly countsMilliseconds: number;
  /** Between heartbeats from a leader to each of the other ranks. */
  readonly heartbeatMilliseconds: number;
  /**
   * Whether count deltas are sent through an entry of the zone instead of directly to the leader.
   */
  readonly areCountsRelayed: boolean;
}

/** Groups of at least this many ranks send their counts through entries. */
const LARGE_GROUP_RANKS = 32;
const REPORT_MILLISECONDS = 100;
/**
 * Longer than in a small group: the many ranks read at different moments, so that a broken group is
 * detected just as early.
 */
const LARGE_GROUP_REPORT_MILLISECONDS = 200;
const LARGE_GROUP_IDLE_REPORT_MILLISECONDS = 400;
const ENTRY_REPORT_MILLISECONDS = 160;
const LARGE_GROUP_ENTRY_REPORT_MILLISECONDS = 200;
/** Short, because every stream of the group is slow until a shift in expert demand is detected. */
const COUNTS_MILLISECONDS = 100;
const LARGE_GROUP_COUNTS_MILLISECONDS = 400;
/** Limits a leader to about 400 heartbeats per second. */
const HEARTBEAT_MILLISECONDS_PER_RANK = 2.5;

export function planReportingIntervals(groupSize: number): ReportingIntervals {
  const heartbeatMilliseconds = Math.max(
    ENTRY_REPORT_MILLISECONDS,
    groupSize * HEARTBEAT_MILLISECONDS_PER_RANK,
  );
  if (groupSize < LARGE_GROUP_RANKS) {
    return {
      reportMilliseconds: REPORT_MILLISECONDS,
      idleReportMilliseconds: REPORT_MILLISECONDS,
      entryReportMilliseconds: ENTRY_REPORT_MILLISECONDS,
      countsMilliseconds: COUNTS_MILLISECONDS,
      heartbeatMilliseconds,
      areCountsRelayed: false,
    };
  }
  return {
    reportMilliseconds: LARGE_GROUP_REPORT_MILLISECONDS,
    idleReportMilliseconds: LARGE_GROUP_IDLE_REPORT_MILLISECONDS,
    entryReportMilliseconds: LARGE_GROUP_ENTRY_REPORT_MILLISECONDS,
    countsMilliseconds: LARGE_GROUP_COUNTS_MILLISECONDS,
    heartbeatMilliseconds,
    areCountsRelayed: true,
  };
}
