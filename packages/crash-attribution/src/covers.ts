/**
 * Compares what an entry knows with what it has last seen in the store, so that only news is
 * written. Pure.
 */
import type { CrashStatements, PartStatement } from './crash-statements.js';

function namesAll(stored: readonly PartStatement[], known: readonly PartStatement[]): boolean {
  const parts = new Set(stored.map(({ part }) => part));
  return known.every(({ part }) => parts.has(part));
}

/** Whether the stored statements name every crash, suspect and part that the known ones do. */
export function covers(stored: CrashStatements, known: CrashStatements): boolean {
  const suspectsOf = new Map<string, ReadonlySet<string>>();
  for (const { server, suspects } of stored.crashes) suspectsOf.set(server, new Set(suspects));
  for (const { server, suspects } of known.crashes) {
    const named = suspectsOf.get(server);
    if (named === undefined || !suspects.every((part) => named.has(part))) return false;
  }
  return (
    namesAll(stored.cleared, known.cleared) &&
    namesAll(stored.quarantined, known.quarantined) &&
    namesAll(stored.released, known.released)
  );
}
