/**
 * The shared state's rows in the platform's table: the document with its version, its
 * history by version and by change id, and the drain orders.
 */
import { writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { Table, TableRow } from '@lapisbridge/platform';

import { mergeOrders, ordersFingerprint } from './drain-orders.js';
import type { DrainOrders } from './drain-orders.js';

export interface StoredDocument {
  readonly changeId: string;
  readonly author: string;
  /** Wall-clock time, for display only; never compared. */
  readonly acceptedAt: string;
  readonly text: string;
}

export interface StoredChange {
  readonly version: number;
  readonly document: StoredDocument;
}

export enum ApplyOutcome {
  Accepted = 'accepted',
  Conflict = 'conflict',
  Unknown = 'unknown',
}

export interface ApplyResult {
  readonly outcome: ApplyOutcome;
  readonly version: number;
  /** On a conflict: the change in force. */
  readonly current?: StoredChange;
}

export interface StateStore {
  readDocument(environment: string): Promise<StoredChange | null>;
  /** The documents in force of all environments on this platform, by environment name. */
  readAllDocuments(): Promise<ReadonlyMap<string, StoredChange>>;
  readVersion(environment: string, version: number): Promise<StoredChange | null>;
  readChange(environment: string, changeId: string): Promise<StoredChange | null>;
  history(environment: string): Promise<readonly StoredChange[]>;
  /** Stores a document as the version after `baseVersion`, the one that its operator saw. */
  apply(environment: string, baseVersion: number, document: StoredDocument): Promise<ApplyResult>;
  readOrders(environment: string): Promise<DrainOrders>;
  /** Merges orders into the stored ones; returns whether they are known to be stored. */
  writeOrders(environment: string, orders: DrainOrders): Promise<boolean>;
}

const DOCUMENTS_PREFIX = 'documents/';
const VERSION_DIGITS = 9;
const MAXIMUM_WRITE_ATTEMPTS = 8;

function documentKey(environment: string): string {
  return `${DOCUMENTS_PREFIX}${environment}`;
}

function historyKey(environment: string, version: number): string {
  return `environments/${environment}/history/${String(version).padStart(VERSION_DIGITS, '0')}`;
}

function changeKey(environment: string, changeId: string): string {
  return `environments/${environment}/changes/${changeId}`;
}

function ordersKey(environment: string): string {
  return `environments/${environment}/orders`;
}

function toChange(row: TableRow | null): StoredChange | null {
  if (row === null) return null;
  return { version: row.version, document: row.value as StoredDocument };
}

export function createStateStore(table: Table): StateStore {
  async function readVersion(environment: string, version: number): Promise<StoredChange | null> {
    const row = await table.read(historyKey(environment, version));
    return row === null ? null : (row.value as StoredChange);
  }

  /** After a rejected write or a lost reply: the change's own row shows whether it took effect. */
  async function resolveUnknownApply(
    environment: string,
    baseVersion: number,
    changeId: string,
  ): Promise<ApplyResult> {
    try {
      // The document is read first: once its version has advanced, a missing change row can never
      // appear. In the reverse order, a late write between the two reads would be reported as a
      // conflict with another change.
      const current = toChange(await table.read(documentKey(environment)));
      const ownChange = await table.read(changeKey(environment, changeId));
      if (ownChange !== null) {
        return {
          outcome: ApplyOutcome.Accepted,
          version: (ownChange.value as StoredChange).version,
        };
      }
      const version = current?.version ?? 0;
      // Still at the base version: the write may be in transit and take effect after this read.
      if (version === baseVersion) return { outcome: ApplyOutcome.Unknown, version };
      return {
        outcome: ApplyOutcome.Conflict,
        version,
        ...(current === null ? {} : { current }),
      };
    } catch {
      return { outcome: ApplyOutcome.Unknown, version: baseVersion };
    }
  }

  return {
    async readDocument(environment) {
      return toChange(await table.read(documentKey(environment)));
    },
    async readAllDocuments() {
      const rows = await table.list(DOCUMENTS_PREFIX);
      const entries = rows.map(
        (row) => [row.key.slice(DOCUMENTS_PREFIX.length), toChange(row) as StoredChange] as const,
      );
      return new Map(entries);
    },
    readVersion,
    async readChange(environment, changeId) {
      const row = await table.read(changeKey(environment, changeId));
      return row === null ? null : (row.value as StoredChange);
    },
    async history(environment) {
      const rows = await table.list(`environments/${environment}/history/`);
      return rows.map((row) => row.value as StoredChange);
    },
    async apply(environment, baseVersion, document) {
      const version = baseVersion + 1;
      const change: StoredChange = { version, document };
      const { changeId } = document;
      const puts = [
        { key: documentKey(environment), value: document, expectedVersion: baseVersion },
        { key: historyKey(environment, version), value: change, expectedVersion: 0 },
        { key: changeKey(environment, changeId), value: change, expectedVersion: 0 },
      ];
      try {
        const [result] = await table.transact([{ puts }]);
        if (result?.applied === true) return { outcome: ApplyOutcome.Accepted, version };
      } catch {
        // The reply was lost; the outcome is read from the table below.
      }
      return resolveUnknownApply(environment, baseVersion, changeId);
    },
    async readOrders(environment) {
      const row = await table.read(ordersKey(environment));
      return (row?.value ?? {}) as DrainOrders;
    },
    async writeOrders(environment, orders) {
      const key = ordersKey(environment);
      for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt += 1) {
        const row = await table.read(key).catch(() => undefined);
        if (row === undefined) return false;
        const stored = (row?.value ?? {}) as DrainOrders;
        const merged = mergeOrders(stored, orders);
        const fingerprint = ordersFingerprint(merged);
        if (fingerprint === ordersFingerprint(stored)) return true;
        const written = await writeConditionally(table, {
          key,
          value: merged,
          expectedVersion: row?.version ?? 0,
          isOwn: (value) => ordersFingerprint(value as DrainOrders) === fingerprint,
        });
        if (written.outcome === WriteOutcome.Applied) return true;
        if (written.outcome === WriteOutcome.Unknown) return false;
      }
      return false;
    },
  };
}
