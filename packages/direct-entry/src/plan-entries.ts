/**
 * How many entries are reckoned with where a bound is shared among them. An entry that has just
 * started knows few of the others, and would take too much of what all share: so it assumes some,
 * and more where there are many backend servers. Pure.
 */
export interface EntriesInput {
  /** This entry and those it has heard of. */
  readonly known: number;
  /** Backend servers in the list. */
  readonly servers: number;
  readonly sinceStartMilliseconds: number;
}

const FEWEST_ASSUMED = 8;
/** A deployment has one entry for so many backend servers, or more entries. */
const SERVERS_PER_ENTRY = 3;
/** By then the others had time to make themselves heard. */
const ASSUMED_MILLISECONDS = 5000;

export function planEntries({ known, servers, sinceStartMilliseconds }: EntriesInput): number {
  if (sinceStartMilliseconds >= ASSUMED_MILLISECONDS) return known;
  return Math.max(known, FEWEST_ASSUMED, Math.ceil(servers / SERVERS_PER_ENTRY));
}
