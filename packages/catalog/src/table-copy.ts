/**
 * JSON encoding of the table copies that entries send each other while the store refuses calls of
 * some of them. A copy is complete as of its revision, so a newer copy replaces an older one as a
 * whole.
 */
import { isObject, numberOf, objectsOf, textOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';

import type { RowList, StoreRow } from './store.js';

/** Encodes a copy; values are in base64. */
export function encodeCopy(rows: ReadonlyMap<string, StoreRow>, revision: number): JsonObject {
  const encoded: JsonObject[] = [];
  for (const { key, value, revision: rowRevision } of rows.values()) {
    encoded.push({ key, value: value?.toString('base64') ?? '', revision: rowRevision });
  }
  return { revision, rows: encoded };
}

/** Decodes a copy; undefined if the body is not a valid one. */
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
