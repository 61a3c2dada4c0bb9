/**
 * How many entries are reckoned with where a bound is shared among them. An entry that has just
 * started knows few of the others, and would take too much of what all share: so it assumes some,
 * and more where there are many backend servers. Pure.
 */
export interface EntryCountInput {
  /** This entry and those it has heard of. */
  readonly knownEntries: number;
  /** Backend servers in the list. */
  readonly backendServers: number;
  readonly sinceStartMilliseconds: number;
}

const MINIMUM_ASSUMED_ENTRIES = 8;
/** A deployment has one entry for so many backend servers, or more entries. */
const SERVERS_PER_ENTRY = 3;
/** By then the others had time to make themselves heard. */
const DISCOVERY_MILLISECONDS = 5000;

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
