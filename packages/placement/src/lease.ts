/**
 * A lease on a group, held by one of its own sidecars. Nobody reads a clock of another
 * machine: the holder renews the row, and whoever has watched it unchanged for the lease time
 * on its own monotonic clock may take it over with a higher fencing number. Safety does not
 * rest on the lease: every effect is guarded by the fencing number or by the row's version.
 */
import { writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { Table } from '@lapisbridge/platform';

export interface LeaseRecord {
  readonly holder: string;
  readonly fencingNumber: number;
  /** Chosen anew for each renewal, so that a writer recognises its own write. */
  readonly nonce: string;
}

export interface HeldLease {
  readonly fencingNumber: number;
  /** Version of the lease row, for transactions that must fail once the lease is lost. */
  readonly rowVersion: number;
  readonly record: LeaseRecord;
}

export interface LeaseWatch {
  readonly rowVersion: number;
  /** Monotonic milliseconds at which this version was first seen here. */
  readonly seenAt: number;
}

export function leaseKey(environment: string, group: string): string {
  return `groups/${environment}/${group}/lease`;
}

export interface LeaseOptions {
  readonly table: Table;
  readonly environment: string;
  readonly group: string;
  readonly holder: string;
  readonly leaseMilliseconds: number;
  readonly createNonce: () => string;
}

export interface Lease {
  /** Renews the held lease, or takes a lapsed one over; undefined when another holds it. */
  renewOrAcquire(now: number): Promise<HeldLease | undefined>;
  /** Fencing number of the row as last read, also when another holds it. */
  readonly seenFencingNumber: number;
  drop(): void;
  /** A transaction of the holder has written the row once more. */
  recordOwnWrite(): void;
}

export function createLease(options: LeaseOptions): Lease {
  const { table, holder, leaseMilliseconds } = options;
  const key = leaseKey(options.environment, options.group);
  let held: HeldLease | undefined;
  let watch: LeaseWatch = { rowVersion: -1, seenAt: 0 };
  let seenFencingNumber = 0;

  async function write(fencingNumber: number, rowVersion: number): Promise<HeldLease | undefined> {
    const record: LeaseRecord = { holder, fencingNumber, nonce: options.createNonce() };
    const written = await writeConditionally(table, {
      key,
      value: record,
      expectedVersion: rowVersion,
      isOwn: (value) => (value as LeaseRecord).nonce === record.nonce,
    });
    if (written.outcome !== WriteOutcome.Applied || written.row === null) return undefined;
    seenFencingNumber = Math.max(seenFencingNumber, fencingNumber);
    return { fencingNumber, rowVersion: written.row.version, record };
  }

  return {
    get seenFencingNumber() {
      return seenFencingNumber;
    },
    async renewOrAcquire(now) {
      if (held !== undefined) {
        held = await write(held.fencingNumber, held.rowVersion);
        return held;
      }
      const row = await table.read(key).catch(() => undefined);
      if (row === undefined) return undefined;
      const record = row?.value as LeaseRecord | undefined;
      seenFencingNumber = Math.max(seenFencingNumber, record?.fencingNumber ?? 0);
      const rowVersion = row?.version ?? 0;
      if (watch.rowVersion !== rowVersion) watch = { rowVersion, seenAt: now };
      const isExpired = row === null || now - watch.seenAt > leaseMilliseconds;
      if (!isExpired) return undefined;
      held = await write((record?.fencingNumber ?? 0) + 1, rowVersion);
      return held;
    },
    drop() {
      held = undefined;
    },
    recordOwnWrite() {
      if (held !== undefined) held = { ...held, rowVersion: held.rowVersion + 1 };
    },
  };
}
