/**
 * Plans what an entry writes to the store about crashed servers: one row with the evidence, and one
 * row for each quarantined prompt part or request, which an operator may remove. Rows hold times of the store's
 * clock, since entries have clocks of their own. Pure.
 */
import type { RowWrite, StoreRow } from '@lapisbridge/catalog';
import {
  covers,
  decodeCrashStatements,
  encodeCrashStatements,
  quarantineMilliseconds,
} from '@lapisbridge/crash-attribution';
import type {
  CauseStatement,
  CrashStatement,
  CrashStatements,
} from '@lapisbridge/crash-attribution';
import { numberOf, parseObject } from '@lapisbridge/json-call';

/** The rows as last read, decoded. */
export interface StoredQuarantine {
  /** Ages as of the reading. */
  readonly statements: CrashStatements;
  readonly evidenceRevision: number;
  /** Revisions of the rows of quarantined parts and requests. */
  readonly revisionByCause: ReadonlyMap<string, number>;
}

export const EMPTY_QUARANTINE: StoredQuarantine = {
  statements: { crashes: [], cleared: [], quarantined: [], released: [] },
  evidenceRevision: 0,
  revisionByCause: new Map(),
};

const EVIDENCE_KEY = 'evidence';
/** Of each crash; a full ledger has to fit into one row of 64 KB. */
const MAXIMUM_STORED_REQUESTS = 8;
const CAUSE_PREFIX = 'quarantined/';

function addAge(statements: CrashStatements, ageMilliseconds: number): CrashStatements {
  const older = <Statement extends { readonly ageMilliseconds: number }>(
    listed: readonly Statement[],
  ): Statement[] =>
    listed.map((statement) => ({
      ...statement,
      ageMilliseconds: statement.ageMilliseconds + ageMilliseconds,
    }));
  return {
    crashes: older(statements.crashes),
    cleared: older(statements.cleared),
    quarantined: older(statements.quarantined),
    released: older(statements.released),
  };
}

/** Decodes the rows; `ageOf` is the age of a time of the store's clock. */
export function decodeQuarantineRows(
  rows: ReadonlyMap<string, StoreRow>,
  ageOf: (storeTime: number) => number,
): StoredQuarantine {
  let evidence = EMPTY_QUARANTINE.statements;
  let evidenceRevision = 0;
  const quarantined: CauseStatement[] = [];
  const revisionByCause = new Map<string, number>();
  for (const { key, value, revision } of rows.values()) {
    const body = (value === undefined ? undefined : parseObject(value)) ?? {};
    const at = numberOf(body, 'at');
    if (key === EVIDENCE_KEY) {
      evidenceRevision = revision;
      if (at !== undefined) evidence = addAge(decodeCrashStatements(body), ageOf(at));
    } else if (key.startsWith(CAUSE_PREFIX)) {
      const cause = key.slice(CAUSE_PREFIX.length);
      revisionByCause.set(cause, revision);
      if (at !== undefined) quarantined.push({ cause, ageMilliseconds: ageOf(at) });
    }
  }
  return { statements: { ...evidence, quarantined }, evidenceRevision, revisionByCause };
}

/** Requests that were lost with two servers or more; the others need not outlast the entries. */
function findRepeated(crashes: readonly CrashStatement[]): ReadonlySet<string> {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const { digest } of crashes.flatMap(({ requests }) => requests)) {
    if (seen.has(digest)) repeated.add(digest);
    seen.add(digest);
  }
  return repeated;
}

/** Crashes that still need an explanation or are stored, and what clears their suspects. */
function selectEvidence(known: CrashStatements, stored: CrashStatements): CrashStatements {
  const resolved = new Set<string>();
  for (const { cause } of [...known.cleared, ...known.quarantined]) resolved.add(cause);
  const storedServers = new Set(stored.crashes.map(({ server }) => server));
  const repeated = findRepeated(known.crashes);
  const crashes: CrashStatement[] = [];
  for (const crash of known.crashes) {
    const requests = crash.requests
      .filter(({ digest }) => repeated.has(digest))
      .slice(0, MAXIMUM_STORED_REQUESTS);
    const isOpen =
      crash.suspects.some((part) => !resolved.has(part)) ||
      requests.some(({ digest }) => !resolved.has(digest));
    if (isOpen || storedServers.has(crash.server)) crashes.push({ ...crash, requests });
  }
  const causes = new Set<string>();
  for (const { suspects, requests } of crashes) {
    for (const part of suspects) causes.add(part);
    for (const { digest } of requests) causes.add(digest);
  }
  const cleared = known.cleared.filter(({ cause }) => causes.has(cause));
  return { crashes, cleared, quarantined: [], released: [] };
}

function encodeRow(body: object): Buffer {
  return Buffer.from(JSON.stringify(body));
}

/** Returns the rows to write for what the store does not have; none if it has everything. */
export function planQuarantineRows(
  known: CrashStatements,
  stored: StoredQuarantine,
  storeTime: number,
): RowWrite[] {
  const writes: RowWrite[] = [];
  const evidence = selectEvidence(known, stored.statements);
  if (!covers(stored.statements, evidence)) {
    writes.push({
      key: EVIDENCE_KEY,
      value: encodeRow({ at: storeTime, ...encodeCrashStatements(evidence) }),
      expectedRevision: stored.evidenceRevision,
    });
  }
  for (const { cause, ageMilliseconds } of known.quarantined) {
    if (stored.revisionByCause.has(cause)) continue;
    writes.push({
      key: `${CAUSE_PREFIX}${cause}`,
      value: encodeRow({ at: Math.round(storeTime - ageMilliseconds) }),
      expectedRevision: 0,
    });
  }
  const releasedAge = new Map(known.released.map((released) => [released.cause, released]));
  for (const { cause, ageMilliseconds } of stored.statements.quarantined) {
    const releasedFor = releasedAge.get(cause)?.ageMilliseconds ?? Infinity;
    const hasLapsed = ageMilliseconds > quarantineMilliseconds(cause);
    if (releasedFor >= ageMilliseconds && !hasLapsed) continue;
    const expectedRevision = stored.revisionByCause.get(cause);
    writes.push({ key: `${CAUSE_PREFIX}${cause}`, value: undefined, expectedRevision });
  }
  return writes;
}
