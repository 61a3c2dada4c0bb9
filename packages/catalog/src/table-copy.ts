/**
 * Copies of a table that entries give each other while the store turns some of them away. A
 * copy is whole as of its revision, so the newer one simply replaces the older.
 */
import { isObject, numberOf, objectsOf, textOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';

import type { RowList, StoreRow } from './store.js';

export function encodeCopy(rows: ReadonlyMap<string, StoreRow>, revision: number): JsonObject {
  const encoded: JsonObject[] = [];
  for (const { key, value, revision: rowRevision } of rows.values()) {
    encoded.push({ key, value: value?.toString('base64') ?? '', revision: rowRevision });
  }
  return { revision, rows: encoded };
}

/** Undefined when it is no copy. */
export function decodeCopy(body: unknown, table: string, part: string): RowList | undefined {
  if (!isObject(body)) return undefined;
  const revision = numberOf(body, 'revision');
  if (revision === undefined) return undefined;
  const rows: StoreRow[] = [];
  for (const entry of objectsOf(body, 'rows')) {
    const key = textOf(entry, 'key');
    const rowRevision = numberOf(entry, 'revision');
    if (key === undefined || rowRevision === undefined) return undefined;
    const value = Buffer.from(textOf(entry, 'value') ?? '', 'base64');
    rows.push({ table, part, key, value, revision: rowRevision });
  }
  return { rows, revision };
}
