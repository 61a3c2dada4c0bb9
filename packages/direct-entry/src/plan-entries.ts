/**
 * Estimates the number of entries that share a limit. An entry that has just started knows few of
 * the others and would claim too large a share, so it assumes a minimum number that grows with the
 * number of backend servers. Pure.
 */

/** What an entry knows of the size of the deployment. */
export interface EntryCountInput {
  /** Number of known entries, including this one. */
  readonly knownEntries: number;
  /** Number of listed backend servers. */
  readonly backendServers: number;
  readonly sinceStartMilliseconds: number;
}

const MINIMUM_ASSUMED_ENTRIES = 8;
/** Deployments have at least one entry per this many backend servers. */
const SERVERS_PER_ENTRY = 3;
/** Time after the start within which this entry learns of all others. */
const DISCOVERY_MILLISECONDS = 5000;

function minimumEntries(backendServers: number): number {
  return Math.max(MINIMUM_ASSUMED_ENTRIES, Math.ceil(backendServers / SERVERS_PER_ENTRY));
}

/** Returns the number of entries to assume, including this one. */
export function estimateEntryCount({
  knownEntries,
  backendServers,
  sinceStartMilliseconds,
}: EntryCountInput): number {
  if (sinceStartMilliseconds >= DISCOVERY_MILLISECONDS) return knownEntries;
  return Math.max(knownEntries, minimumEntries(backendServers));
}

/**
 * Whether this entry knows all others: it has had time to discover them, and none that it knew
 * within the last hour is missing, as behind a partition.
 */
export function knowsAllEntries(
  { knownEntries, sinceStartMilliseconds }: Omit<EntryCountInput, 'backendServers'>,
  peakEntries: number,
): boolean {
  return sinceStartMilliseconds >= DISCOVERY_MILLISECONDS && knownEntries >= peakEntries;
}

/** The highest number of entries known at once within the last hour. */
export interface EntryCountPeak {
  /** Records the number of entries that are known now. */
  observe(knownEntries: number): void;
  highest(): number;
}

/** Entries that are partitioned for longer than this use shares that are too large. */
const PEAK_RETENTION_MILLISECONDS = 3_600_000;

export function createEntryCountPeak(now: () => number): EntryCountPeak {
  /** Counts that were not reached again since, each with the last time it was observed. */
  let peaks: { readonly count: number; readonly observedAt: number }[] = [];

  return {
    observe(knownEntries) {
      const from = now() - PEAK_RETENTION_MILLISECONDS;
      peaks = peaks.filter(({ count, observedAt }) => count > knownEntries && observedAt >= from);
      peaks.push({ count: knownEntries, observedAt: now() });
    },
    highest: () => peaks[0]?.count ?? 1,
  };
}

/**
 * Returns the number of entries to divide the slack of the retry budget by. Entries that are no
 * longer heard may be behind a partition and use their parts, and a process that starts behind one
 * hears only its side. Too high a number costs little, since most retries are earned by requests.
 */
export function planRetrySharers(peakEntries: number, backendServers: number): number {
  return Math.max(peakEntries, minimumEntries(backendServers));
}
