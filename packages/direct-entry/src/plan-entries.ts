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

/** Returns the number of entries to assume, including this one. */
export function estimateEntryCount({
  knownEntries,
  backendServers,
  sinceStartMilliseconds,
}: EntryCountInput): number {
  if (sinceStartMilliseconds >= DISCOVERY_MILLISECONDS) return knownEntries;
  return Math.max(
    knownEntries,
    MINIMUM_ASSUMED_ENTRIES,
    Math.ceil(backendServers / SERVERS_PER_ENTRY),
  );
}
