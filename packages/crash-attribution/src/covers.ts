/**
 * Compares what an entry knows with what it has last seen in the store, so that only news is
 * written. Pure.
 */
import type { CauseStatement, CrashStatement, CrashStatements } from './crash-statements.js';

function namesAll(stored: readonly CauseStatement[], known: readonly CauseStatement[]): boolean {
  const causes = new Set(stored.map(({ cause }) => cause));
  return known.every(({ cause }) => causes.has(cause));
}

function coversCrash(stored: CrashStatement | undefined, known: CrashStatement): boolean {
  if (stored === undefined) return false;
  if (known.hasSurvived !== stored.hasSurvived) return false;
  if (stored.isSilent && !known.isSilent) return false;
  const parts = new Set(stored.suspects);
  const digests = new Set(stored.requests.map(({ digest }) => digest));
  return (
    known.suspects.every((part) => parts.has(part)) &&
    known.requests.every(({ digest }) => digests.has(digest))
  );
}

/** Whether the stored statements name every crash and every cause that the known ones do. */
export function covers(stored: CrashStatements, known: CrashStatements): boolean {
  const crashOf = new Map(stored.crashes.map((crash) => [crash.server, crash]));
  return (
    known.crashes.every((crash) => coversCrash(crashOf.get(crash.server), crash)) &&
    namesAll(stored.cleared, known.cleared) &&
    namesAll(stored.quarantined, known.quarantined) &&
    namesAll(stored.released, known.released)
  );
}
