/**
 * A conditional write whose outcome is known. The answer of the table can be lost after
 * the write took effect; a plain retry would then see its own write as a conflict. So a
 * lost answer is read back and recognised by the writer's own mark.
 */
import type { Table, TableRow } from './table.js';

export enum WriteOutcome {
  Applied = 'applied',
  Conflict = 'conflict',
  /** Neither the write's answer nor a read came back in time. It may take effect yet. */
  Unknown = 'unknown',
}

export interface WriteResult {
  readonly outcome: WriteOutcome;
  /** The row as last seen, null when absent. */
  readonly row: TableRow | null;
}

export interface ConditionalWrite {
  readonly key: string;
  readonly value: unknown;
  readonly expectedVersion: number;
  /** Tells whether a row's value is the one that this writer wrote. */
  isOwn(value: unknown): boolean;
}

/** Reads back what became of a write whose answer was lost. */
export async function readBack(table: Table, write: ConditionalWrite): Promise<WriteResult> {
  try {
    const row = await table.read(write.key);
    if (row !== null && write.isOwn(row.value)) return { outcome: WriteOutcome.Applied, row };
    const version = row?.version ?? 0;
    // At the expected version still, the write may only be late and take effect after this read.
    const outcome =
      version === write.expectedVersion ? WriteOutcome.Unknown : WriteOutcome.Conflict;
    return { outcome, row };
  } catch {
    return { outcome: WriteOutcome.Unknown, row: null };
  }
}

export async function writeConditionally(
  table: Table,
  write: ConditionalWrite,
): Promise<WriteResult> {
  const { key, value, expectedVersion } = write;
  try {
    const [result] = await table.transact([{ puts: [{ key, value, expectedVersion }] }]);
    const row = result?.rows[0] ?? null;
    if (result?.applied === true) return { outcome: WriteOutcome.Applied, row };
    const own = row !== null && write.isOwn(row.value);
    return { outcome: own ? WriteOutcome.Applied : WriteOutcome.Conflict, row };
  } catch {
    return readBack(table, write);
  }
}
