/**
 * Brings all ranks of a group onto one map, as the group's leader. Order: prepare at every
 * rank, commit by one transaction that fails if the lease is lost, pause every rank, switch
 * every rank, resume every rank. Before the commit anything may be aborted; after it whoever
 * leads goes forward.
 */
import { ResultCode } from '@lapisbridge/errors';
import type { Table, TableRow } from '@lapisbridge/platform';

import type { ExpertMap } from './expert-map.js';
import { leaseKey } from './lease.js';
import type { HeldLease } from './lease.js';
import { RankStep } from './plan-rank-order.js';

export interface MapRecord {
  readonly version: number;
  readonly map: ExpertMap;
  readonly fencingNumber: number;
}

export interface RankOrderMessage {
  readonly step: RankStep;
  readonly fencingNumber: number;
  readonly rollout: number;
  readonly mapVersion: number;
  readonly map: ExpertMap;
}

export interface RankAnswer {
  readonly code: ResultCode;
  readonly activeVersion: number;
  readonly paused: boolean;
}

export interface RolloutOptions {
  readonly table: Table;
  readonly environment: string;
  readonly group: string;
  readonly ranks: number;
  /** Sends an order to one rank's sidecar; rejects when no answer came. */
  send(rank: number, order: RankOrderMessage): Promise<RankAnswer>;
  /** Renews the held lease; undefined once it is lost. */
  lease(): Promise<HeldLease | undefined>;
  /** The commit has written the lease row too: its version is one higher. */
  onCommitted(): void;
}

export enum RolloutOutcome {
  Done = 'done',
  Aborted = 'aborted',
  /** Committed, and not every rank could be brought onto it yet: to be repeated. */
  Unfinished = 'unfinished',
  LeaseLost = 'leaseLost',
  StoreUnavailable = 'storeUnavailable',
}

export interface Rollout {
  /** Rolls a new map out. */
  rollOut(map: ExpertMap): Promise<RolloutOutcome>;
  /** Brings every rank onto the committed map, whatever state an earlier leader left behind. */
  reconcile(): Promise<RolloutOutcome>;
  readCommitted(): Promise<MapRecord | undefined>;
}

/** Rollout numbers of one leader; those of the next begin above them. */
const ROLLOUTS_PER_LEASE = 1_000_000;

export function mapKey(environment: string, group: string): string {
  return `groups/${environment}/${group}/map`;
}

export function createRollout(options: RolloutOptions): Rollout {
  const { table, environment, group, ranks } = options;
  const key = mapKey(environment, group);
  let sequence = 0;

  function nextRollout(lease: HeldLease): number {
    sequence += 1;
    return lease.fencingNumber * ROLLOUTS_PER_LEASE + sequence;
  }

  /** Sends one order to every rank at once; true when all accepted it. */
  async function sendToAll(order: RankOrderMessage): Promise<boolean> {
    const answers = await Promise.allSettled(
      Array.from({ length: ranks }, (_, rank) => options.send(rank, order)),
    );
    return answers.every(
      (answer) => answer.status === 'fulfilled' && answer.value.code === ResultCode.Accepted,
    );
  }

  async function readMapRow(): Promise<TableRow | null | undefined> {
    return table.read(key).catch(() => undefined);
  }

  /** The commit: the map and the lease in one transaction, so that a lost lease fails it. */
  async function commit(
    lease: HeldLease,
    row: TableRow | null,
    record: MapRecord,
  ): Promise<RolloutOutcome> {
    const puts = [
      { key, value: record, expectedVersion: row?.version ?? 0 },
      {
        key: leaseKey(environment, group),
        value: lease.record,
        expectedVersion: lease.rowVersion,
      },
    ];
    try {
      const [result] = await table.transact([{ puts }]);
      if (result?.applied !== true) return RolloutOutcome.LeaseLost;
      options.onCommitted();
      return RolloutOutcome.Done;
    } catch {
      // It may have taken effect. Going on either way could be wrong; the next reconciliation
      // reads the row and brings everyone onto whatever stands there.
      return RolloutOutcome.StoreUnavailable;
    }
  }

  async function completeRollout(order: RankOrderMessage): Promise<RolloutOutcome> {
    for (const step of [RankStep.Pause, RankStep.Switch, RankStep.Resume]) {
      if (!(await sendToAll({ ...order, step }))) return RolloutOutcome.Unfinished;
    }
    return RolloutOutcome.Done;
  }

  return {
    async readCommitted() {
      const row = await readMapRow();
      return row === null || row === undefined ? undefined : (row.value as MapRecord);
    },
    async rollOut(map) {
      const lease = await options.lease();
      if (lease === undefined) return RolloutOutcome.LeaseLost;
      const row = await readMapRow();
      if (row === undefined) return RolloutOutcome.StoreUnavailable;
      const version = ((row?.value as MapRecord | undefined)?.version ?? 0) + 1;
      const { fencingNumber } = lease;
      const rollout = nextRollout(lease);
      const order = { step: RankStep.Prepare, fencingNumber, rollout, mapVersion: version, map };
      const isPrepared = await sendToAll(order);
      if (!isPrepared) {
        await sendToAll({ ...order, step: RankStep.Abort });
        return RolloutOutcome.Aborted;
      }
      const current = await options.lease();
      if (current?.fencingNumber !== fencingNumber) return RolloutOutcome.LeaseLost;
      const commitOutcome = await commit(current, row, { version, map, fencingNumber });
      if (commitOutcome !== RolloutOutcome.Done) return commitOutcome;
      return completeRollout(order);
    },
    async reconcile() {
      const lease = await options.lease();
      if (lease === undefined) return RolloutOutcome.LeaseLost;
      const row = await readMapRow();
      if (row === undefined) return RolloutOutcome.StoreUnavailable;
      if (row === null) return RolloutOutcome.Done;
      const { version, map } = row.value as MapRecord;
      const { fencingNumber } = lease;
      const rollout = nextRollout(lease);
      const order = { step: RankStep.Query, fencingNumber, rollout, mapVersion: version, map };
      const states = await Promise.allSettled(
        Array.from({ length: ranks }, (_, rank) => options.send(rank, order)),
      );
      const isOnCommittedMap = states.every(
        (state) =>
          state.status === 'fulfilled' &&
          state.value.code === ResultCode.Accepted &&
          state.value.activeVersion === version &&
          !state.value.paused,
      );
      if (isOnCommittedMap) return RolloutOutcome.Done;
      if (!(await sendToAll({ ...order, step: RankStep.Prepare })))
        return RolloutOutcome.Unfinished;
      return completeRollout(order);
    },
  };
}
