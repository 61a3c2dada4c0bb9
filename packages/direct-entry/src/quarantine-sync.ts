/**
 * Shares what entries know of crashed servers through the store, for zones that cannot reach each
 * other and for processes that start later. Only delegates follow the table and write to it; other
 * entries list it once, at their start, and otherwise rely on digests.
 */
import { createStoreClock, followTable, TransactionKind } from '@lapisbridge/catalog';
import type { Store, StoreRow } from '@lapisbridge/catalog';
import { StatementScope } from '@lapisbridge/crash-attribution';
import type { CrashLedger } from '@lapisbridge/crash-attribution';
import type { MonotonicClock, Random } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import {
  decodeQuarantineRows,
  EMPTY_QUARANTINE,
  planQuarantineRows,
} from './plan-quarantine-rows.js';
import type { StoredQuarantine } from './plan-quarantine-rows.js';

export interface QuarantineSyncOptions {
  readonly ledger: CrashLedger;
  readonly store: Store;
  readonly logger: Logger;
  readonly random: Random;
  readonly now: MonotonicClock;
  /** Whether this entry reads and writes on behalf of others. */
  isDelegate(): boolean;
}

export interface QuarantineSync {
  start(): void;
  stop(): void;
  /** Called when the ledger has changed. */
  onLedgerChange(): void;
}

const TABLE = 'prompt-crashes';
const PART = '';
/** Changes are rare; each call that the store holds until its end costs as much as one. */
const LONG_POLL_MILLISECONDS = 25_000;
const PAUSE_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 1500;
/** Digests spread news first, so that one write usually holds what all entries know. */
const WRITE_DELAY_MILLISECONDS = 250;
const WRITE_JITTER_MILLISECONDS = 350;
/** Pause after a write, in which the table's changes arrive. */
const REWRITE_DELAY_MILLISECONDS = 400;

export function createQuarantineSync(options: QuarantineSyncOptions): QuarantineSync {
  const { ledger, store, logger, now } = options;
  const clock = createStoreClock(now);
  let stored: StoredQuarantine = EMPTY_QUARANTINE;
  let storedAt = now();
  let isLoaded = false;
  let isStopped = false;
  let writeTimer: NodeJS.Timeout | undefined;

  /** The rows as of now: they were decoded some time ago. */
  function planWrites(): ReturnType<typeof planQuarantineRows> {
    const sinceRead = now() - storedAt;
    const quarantined = stored.statements.quarantined.map(({ cause, ageMilliseconds }) => ({
      cause,
      ageMilliseconds: ageMilliseconds + sinceRead,
    }));
    return planQuarantineRows(
      ledger.statements(StatementScope.All),
      { ...stored, statements: { ...stored.statements, quarantined } },
      clock.ageMilliseconds(0),
    );
  }

  async function write(): Promise<void> {
    const writes = planWrites();
    if (writes.length === 0) return;
    let failure: string | undefined;
    try {
      const { kind } = await store.write(TABLE, PART, writes);
      if (kind !== TransactionKind.Applied) failure = kind;
    } catch (thrown) {
      failure = thrown instanceof Error ? thrown.message : String(thrown);
    }
    if (failure !== undefined) {
      logger.info('prompt crashes not stored', { rows: writes.length, reason: failure });
    }
    scheduleWrite(REWRITE_DELAY_MILLISECONDS);
  }

  function scheduleWrite(delayMilliseconds: number): void {
    if (isStopped || !isLoaded || writeTimer !== undefined) return;
    writeTimer = setTimeout(
      () => {
        writeTimer = undefined;
        if (options.isDelegate()) void write();
      },
      delayMilliseconds + options.random() * WRITE_JITTER_MILLISECONDS,
    );
  }

  function onRows(rows: ReadonlyMap<string, StoreRow>): void {
    const before = stored;
    stored = decodeQuarantineRows(rows, (storeTime) => clock.ageMilliseconds(storeTime));
    storedAt = now();
    isLoaded = true;
    for (const cause of before.revisionByCause.keys()) {
      // Whoever removes the row releases the part or request.
      if (!stored.revisionByCause.has(cause)) ledger.release(cause);
    }
    ledger.merge(stored.statements, 'store');
    scheduleWrite(WRITE_DELAY_MILLISECONDS);
  }

  const follower = followTable({
    store,
    table: TABLE,
    part: PART,
    longPollMilliseconds: () => LONG_POLL_MILLISECONDS,
    pauseMilliseconds: () => PAUSE_MILLISECONDS,
    maximumRetryMilliseconds: () => MAXIMUM_RETRY_MILLISECONDS,
    random: options.random,
    delegatedMilliseconds: () => (options.isDelegate() ? 0 : Infinity),
    clock,
    now,
    onRows,
    onStoreResult: () => undefined,
  });

  return {
    start: () => follower.start(),
    stop() {
      isStopped = true;
      follower.stop();
      clearTimeout(writeTimer);
    },
    onLedgerChange() {
      if (options.isDelegate()) scheduleWrite(WRITE_DELAY_MILLISECONDS);
    },
  };
}
