/**
 * How often a sidecar tells whom, by the size of its group. In a large group the counts of each
 * availability zone are summed by an entry before they cross to the leader, whose link would
 * otherwise carry nothing else. Pure.
 */
export interface ReportingIntervals {
  /** Reads of the rank's own report, in milliseconds. */
  readonly reportMilliseconds: number;
  /** The same while the group has nothing to do. */
  readonly idleReportMilliseconds: number;
  /** To each entry that wants every report, in milliseconds. */
  readonly entryReportMilliseconds: number;
  /** Growth of the counts, in milliseconds. */
  readonly countsMilliseconds: number;
  /** From a leader to the other ranks, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Whether counts go through an entry of the zone instead of straight to the leader. */
  readonly areCountsRelayed: boolean;
}

/** Groups from this size on have their counts relayed. */
const LARGE_GROUP_RANKS = 32;
const REPORT_MILLISECONDS = 100;
/** Of a large group's many ranks some read at any moment, so a broken group is noticed as soon. */
const LARGE_GROUP_REPORT_MILLISECONDS = 200;
const LARGE_GROUP_IDLE_REPORT_MILLISECONDS = 400;
const ENTRY_REPORT_MILLISECONDS = 160;
const LARGE_GROUP_ENTRY_REPORT_MILLISECONDS = 200;
/** While a shift of the demand is not noticed every stream is late. */
const COUNTS_MILLISECONDS = 100;
const LARGE_GROUP_COUNTS_MILLISECONDS = 400;
/** A leader sends about 400 heartbeats a second at most. */
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
