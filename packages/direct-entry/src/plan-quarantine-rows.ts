/**
 * Plans what an entry writes to the store about crashed servers: one row with the evidence, and one
 * row for each quarantined prompt part, which an operator may remove. Rows hold times of the store's
 * clock, since entries have clocks of their own. Pure.
 */
import type { RowWrite, StoreRow } from '@lapisbridge/catalog';
import {
  covers,
  decodeCrashStatements,
  encodeCrashStatements,
} from '@lapisbridge/crash-attribution';
import type { CrashStatements, PartStatement } from '@lapisbridge/crash-attribution';
import { numberOf, parseObject } from '@lapisbridge/json-call';

/** The rows as last read, decoded. */
export interface StoredQuarantine {
  /** Ages as of the reading. */
  readonly statements: CrashStatements;
  readonly evidenceRevision: number;
  /** Revisions of the rows of quarantined parts. */
  readonly revisionByPart: ReadonlyMap<string, number>;
}

export const EMPTY_QUARANTINE: StoredQuarantine = {
  statements: { crashes: [], cleared: [], quarantined: [], released: [] },
  evidenceRevision: 0,
  revisionByPart: new Map(),
};

const EVIDENCE_KEY = 'evidence';
const PART_PREFIX = 'quarantined/';

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
  const quarantined: PartStatement[] = [];
  const revisionByPart = new Map<string, number>();
  for (const { key, value, revision } of rows.values()) {
    const body = (value === undefined ? undefined : parseObject(value)) ?? {};
    const at = numberOf(body, 'at');
    if (key === EVIDENCE_KEY) {
      evidenceRevision = revision;
      if (at !== undefined) evidence = addAge(decodeCrashStatements(body), ageOf(at));
    } else if (key.startsWith(PART_PREFIX)) {
      const part = key.slice(PART_PREFIX.length);
      revisionByPart.set(part, revision);
      if (at !== undefined) quarantined.push({ part, ageMilliseconds: ageOf(at) });
    }
  }
  return { statements: { ...evidence, quarantined }, evidenceRevision, revisionByPart };
}

/** Crashes that still need an explanation or are stored, and what clears their suspects. */
function selectEvidence(known: CrashStatements, stored: CrashStatements): CrashStatements {
  const resolved = new Set<string>();
  for (const { part } of [...known.cleared, ...known.quarantined]) resolved.add(part);
  const storedServers = new Set(stored.crashes.map(({ server }) => server));
  const crashes = known.crashes.filter(
    ({ server, suspects }) =>
      storedServers.has(server) || suspects.some((part) => !resolved.has(part)),
  );
  const suspects = new Set(crashes.flatMap((crash) => crash.suspects));
  const cleared = known.cleared.filter(({ part }) => suspects.has(part));
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
  for (const { part, ageMilliseconds } of known.quarantined) {
    if (stored.revisionByPart.has(part)) continue;
    writes.push({
      key: `${PART_PREFIX}${part}`,
      value: encodeRow({ at: Math.round(storeTime - ageMilliseconds) }),
      expectedRevision: 0,
    });
  }
  const releasedAge = new Map(known.released.map((released) => [released.part, released]));
  for (const { part, ageMilliseconds } of stored.statements.quarantined) {
    const released = releasedAge.get(part);
    if (released === undefined || released.ageMilliseconds >= ageMilliseconds) continue;
    const expectedRevision = stored.revisionByPart.get(part);
    writes.push({ key: `${PART_PREFIX}${part}`, value: undefined, expectedRevision });
  }
  return writes;
}
