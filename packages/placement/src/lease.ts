/**
 * Leader lease of a group, held by one of its own sidecars. No clocks of different machines are
 * compared: the holder renews a row of the table, and a sidecar that has seen the row unchanged for
 * the lease time on its own monotonic clock may take it over with a higher fencing number. Safety
 * does not depend on the lease: every effect is guarded by the fencing number or the row's version.
 */
import { writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { Table } from '@lapisbridge/platform';

/** Value of the lease row. */
export interface LeaseRecord {
  readonly holder: string;
  readonly fencingNumber: number;
  /** Unique for each renewal, so that a writer recognises its own write. */
  readonly nonce: string;
}

export interface HeldLease {
  readonly fencingNumber: number;
  /** Version of the lease row, for transactions that have to fail once the lease is lost. */
  readonly rowVersion: number;
  readonly record: LeaseRecord;
}

export interface LeaseWatch {
  readonly rowVersion: number;
  /** Monotonic time in milliseconds at which this process first saw this version. */
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
  /**
   * Renews the held lease, or takes over an expired one; undefined when another sidecar holds it or
   * the table could not be read or written. `now` is monotonic time in milliseconds.
   */
  renewOrAcquire(now: number): Promise<HeldLease | undefined>;
  /** Highest fencing number seen in the row, also while another sidecar holds the lease. */
  readonly seenFencingNumber: number;
  /** Forgets the held lease without changing the row. */
  drop(): void;
  /**
   * Records that a transaction of the holder has written the row, which raises its version by one.
   */
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
