/**
 * Simulates for tests how entries share what they know of crashed servers, in simulated time. The
 * fleet, the ledgers and the sync with the store are the real ones; zones can be cut off from each
 * other, the store can refuse calls, and entries can start again.
 */
import { FeedKind, TransactionKind } from '@lapisbridge/catalog';
import type { Feed, RowWrite, Store, StoreRow } from '@lapisbridge/catalog';
import {
  createCrashLedger,
  decodeCrashStatements,
  DIGEST_HEAD_LENGTH,
  encodeCrashStatements,
  StatementScope,
} from '@lapisbridge/crash-attribution';
import type { CrashLedger } from '@lapisbridge/crash-attribution';
import { simulateFleet } from '@lapisbridge/fleet';
import type { SimulatedFleet } from '@lapisbridge/fleet';
import { createRandom } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { vi } from 'vitest';

import { createQuarantineSync } from './quarantine-sync.js';
import type { QuarantineSync } from './quarantine-sync.js';

export interface QuarantineSimulationOptions {
  readonly entries: number;
  readonly zones: number;
}

export interface QuarantineSimulation {
  readonly fleet: SimulatedFleet;
  /** Rows of the store by key. */
  readonly rows: ReadonlyMap<string, StoreRow>;
  /** Calls to the store so far. */
  calls(): { readonly reads: number; readonly writes: number };
  ledgerOf(entry: number): CrashLedger;
  /** An entry observes the end of a server under requests with these parts. */
  crash(entry: number, server: string, suspects: readonly string[]): void;
  /** An entry loses an attempt at the request with a server that ends, and tells the others. */
  loseRequest(entry: number, server: string, digest: string): void;
  run(milliseconds: number): Promise<void>;
  /** Cuts all zones off from each other, or mends them. */
  cutZones(isCut: boolean): void;
  refuseStoreCalls(isRefused: boolean): void;
  /** Starts all entries again, which know nothing then. */
  restartAll(): void;
  removeRow(key: string): void;
}

const STEP_MILLISECONDS = 5;
const STORE_LATENCY_MILLISECONDS = 2;

interface RunningEntry {
  readonly ledger: CrashLedger;
  now(): number;
  readonly sync: QuarantineSync;
}

/** Starts a simulation; requires the fake timers of vitest. */
export function simulateQuarantine(options: QuarantineSimulationOptions): QuarantineSimulation {
  const rows = new Map<string, StoreRow>();
  const changes: StoreRow[] = [];
  let revision = 1;
  let reads = 0;
  let writeCalls = 0;
  let areZonesCut = false;
  let isRefused = false;
  let wake: (() => void)[] = [];
  const running = new Map<string, RunningEntry>();

  const fleet = simulateFleet({
    seed: 1,
    zones: options.zones,
    entries: options.entries,
    sidecars: 0,
    crashes({ instanceId }) {
      const entry = running.get(instanceId);
      return entry === undefined
        ? {}
        : encodeCrashStatements(entry.ledger.statements(StatementScope.Recent));
    },
    onCrashes: ({ instanceId }, from, crashes) =>
      running.get(instanceId)?.ledger.merge(decodeCrashStatements(crashes), from.instanceId),
  });
  fleet.partition((from, to) => areZonesCut && from.availabilityZone !== to.availabilityZone);

  function pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }

  async function answer(): Promise<void> {
    await pause(STORE_LATENCY_MILLISECONDS);
    if (isRefused) throw new Error('the store responded with status 503');
  }

  function apply({ key, value }: RowWrite): void {
    const row = { table: 'prompt-crashes', part: '', key, value, revision };
    if (value === undefined) rows.delete(key);
    else rows.set(key, row);
    changes.push(row);
  }

  function wakeReaders(): void {
    const waiting = wake;
    wake = [];
    for (const resolve of waiting) resolve();
  }

  const store: Store = {
    async list() {
      reads += 1;
      await answer();
      return { rows: [...rows.values()], revision, answeredAt: fleet.now() };
    },
    async feed(_table, since, longPollMilliseconds): Promise<Feed> {
      reads += 1;
      await answer();
      if (!changes.some((row) => row.revision > since)) {
        await Promise.race([
          pause(longPollMilliseconds),
          new Promise<void>((resolve) => {
            wake.push(resolve);
          }),
        ]);
        await answer();
      }
      return {
        kind: FeedKind.Changes,
        rows: changes.filter((row) => row.revision > since),
        revision,
        answeredAt: fleet.now(),
      };
    },
    async write(_table, _part, writes) {
      writeCalls += 1;
      await answer();
      for (const { key, expectedRevision } of writes) {
        const current = rows.get(key)?.revision ?? 0;
        if (expectedRevision !== undefined && expectedRevision !== current) {
          return { kind: TransactionKind.Conflict, revision: 0 };
        }
      }
      revision += 1;
      for (const write of writes) apply(write);
      wakeReaders();
      return { kind: TransactionKind.Applied, revision };
    },
  };

  function start(index: number): void {
    const entry = fleet.entries[index];
    if (entry === undefined) throw new Error(`there is no entry ${index}`);
    const startedAt = fleet.now();
    // Clocks of processes begin at their start.
    const now = (): number => fleet.now() - startedAt;
    const logger = createSilentLogger();
    const ledger = createCrashLedger({
      logger,
      onChange() {
        entry.fleet.expediteDigests();
        sync.onLedgerChange();
      },
      onQuarantine: () => undefined,
      now,
    });
    const sync = createQuarantineSync({
      ledger,
      store,
      logger,
      random: createRandom(index + 1),
      now,
      isDelegate: () => entry.fleet.isDelegate(),
    });
    running.set(entry.name.instanceId, { ledger, now, sync });
    sync.start();
  }

  function ledgerOf(index: number): CrashLedger {
    const entry = running.get(`entry-${index}`);
    if (entry === undefined) throw new Error(`there is no entry ${index}`);
    return entry.ledger;
  }

  function clockOf(index: number): number {
    return running.get(`entry-${index}`)?.now() ?? 0;
  }

  for (const index of fleet.entries.keys()) start(index);
  return {
    fleet,
    rows,
    calls: () => ({ reads, writes: writeCalls }),
    ledgerOf,
    crash(index, server, suspects) {
      const ledger = ledgerOf(index);
      // The ledger's clock is that of its process.
      ledger.merge(
        {
          crashes: [
            {
              server,
              ageMilliseconds: 0,
              suspects,
              requests: [],
              isSilent: false,
              hasSurvived: false,
            },
          ],
          cleared: [],
          quarantined: [],
          released: [],
        },
        'test',
      );
    },
    loseRequest(index, server, digest) {
      const ledger = ledgerOf(index);
      const entry = fleet.entries[index];
      const request = { head: () => digest.slice(0, DIGEST_HEAD_LENGTH), full: () => digest };
      const generation = 1 + ledger.generationOf(request);
      ledger.recordCrash({
        server,
        endedAt: clockOf(index),
        suspects: [],
        requests: [{ digest, generation }],
        isSilent: false,
      });
      const crashes = ledger.takeUnannounced();
      if (crashes !== undefined) entry?.fleet.announceCrashes(encodeCrashStatements(crashes));
    },
    async run(milliseconds) {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
        fleet.run(STEP_MILLISECONDS);
        await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
      }
    },
    cutZones(isCut) {
      areZonesCut = isCut;
    },
    refuseStoreCalls(refused) {
      isRefused = refused;
    },
    restartAll() {
      for (const { sync } of running.values()) sync.stop();
      for (const index of fleet.entries.keys()) start(index);
    },
    removeRow(key) {
      revision += 1;
      apply({ key, value: undefined, expectedRevision: undefined });
      wakeReaders();
    },
  };
}
