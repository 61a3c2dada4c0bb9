/**
 * A table in memory whose calls can be delayed, lost or late, under the control of a test.
 */
import type { Table, Transaction, TransactionResult } from '@lapisbridge/platform';
import { createTableState } from '@lapisbridge/stand-ins';
import type { TableState } from '@lapisbridge/stand-ins';

/** What becomes of one call. */
export enum CallFate {
  Answered = 'answered',
  /** It takes effect, and its answer is lost. */
  AnswerLost = 'answerLost',
  /** It fails for the caller first and takes effect afterwards. */
  Late = 'late',
  /** It never reaches the table. */
  Dropped = 'dropped',
}

export interface FakeTableOptions {
  /** Fate of the next write. */
  writeFate(): CallFate;
  /** Fate of the next read; late and lost come to the same. */
  readFate(): CallFate;
  /** Lets other work go first; resolved in whatever order the test wants. */
  pause(label: string): Promise<unknown>;
}

export interface FakeTable extends Table {
  readonly state: TableState;
}

export const RELIABLE: FakeTableOptions = {
  writeFate: () => CallFate.Answered,
  readFate: () => CallFate.Answered,
  pause: () => Promise.resolve(),
};

export function createFakeTable(options: FakeTableOptions = RELIABLE): FakeTable {
  const state = createTableState();

  async function applyAll(transactions: readonly Transaction[]): Promise<TransactionResult[]> {
    await options.pause('apply');
    return transactions.map((transaction) => state.apply(transaction));
  }

  async function failSoon(): Promise<never> {
    await options.pause('fail');
    throw new Error('the table gave no answer');
  }

  async function readThrough<T>(read: () => T): Promise<T> {
    if (options.readFate() !== CallFate.Answered) return failSoon();
    await options.pause('read');
    const found = read();
    await options.pause('read answer');
    return found;
  }

  return {
    state,
    read: (key) => readThrough(() => state.read(key)),
    list: (prefix) => readThrough(() => state.list(prefix)),
    async transact(transactions) {
      const fate = options.writeFate();
      switch (fate) {
        case CallFate.Dropped:
          return failSoon();
        case CallFate.Late:
          void applyAll(transactions);
          return failSoon();
        case CallFate.AnswerLost:
          await applyAll(transactions);
          return failSoon();
        case CallFate.Answered: {
          const results = await applyAll(transactions);
          await options.pause('answer');
          return results;
        }
        default: {
          const unreachable: never = fate;
          throw new Error(String(unreachable));
        }
      }
    },
  };
}
