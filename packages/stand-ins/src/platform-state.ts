/**
 * The state of the platform stand-in: a transactional table, an object store, and an
 * instance list that lags.
 */
export interface StoredRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

interface Put {
  readonly key: string;
  readonly value: unknown;
  readonly expectedVersion?: number;
}

export interface TransactionRequest {
  readonly puts: readonly Put[];
}

export interface TransactionReply {
  readonly applied: boolean;
  readonly rows: readonly (StoredRow | null)[];
}

export interface TableState {
  read(key: string): StoredRow | null;
  list(prefix: string): readonly StoredRow[];
  apply(transaction: TransactionRequest): TransactionReply;
}

export function createTableState(): TableState {
  const rows = new Map<string, StoredRow>();

  function mayPut({ key, expectedVersion }: Put): boolean {
    return expectedVersion === undefined || (rows.get(key)?.version ?? 0) === expectedVersion;
  }

  return {
    read: (key) => rows.get(key) ?? null,
    list(prefix) {
      const found = [...rows.values()].filter(({ key }) => key.startsWith(prefix));
      return found.sort((left, right) => (left.key < right.key ? -1 : 1));
    },
    apply({ puts }) {
      const applied = puts.every(mayPut);
      if (applied) {
        for (const { key, value } of puts) {
          rows.set(key, { key, version: (rows.get(key)?.version ?? 0) + 1, value });
        }
      }
      return { applied, rows: puts.map(({ key }) => rows.get(key) ?? null) };
    },
  };
}
