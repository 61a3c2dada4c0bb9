/**
 * Switches all ranks of a group to a new map in two phases, as the group's leader: prepare every
 * rank, commit in one transaction that fails if the lease is lost, pause every rank, switch every
 * rank, resume every rank. Before the commit a rollout can be aborted; after it, whichever sidecar
 * leads completes it.
 */
import { ResultCode } from '@lapisbridge/errors';
import type { Table, TableRow } from '@lapisbridge/platform';

import type { ExpertMap } from './expert-map.js';
import { leaseKey } from './lease.js';
import type { HeldLease } from './lease.js';
import { RankStep } from './plan-rank-order.js';

/** Value of the map row: the committed map. */
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
  /** Number of ranks in the group. */
  readonly ranks: number;
  /** Sends an order to one rank's sidecar; rejects when no answer arrives. */
  send(rank: number, order: RankOrderMessage): Promise<RankAnswer>;
  /** Renews the held lease; undefined once it is lost. */
  lease(): Promise<HeldLease | undefined>;
  /** Called after a commit, which also writes the lease row and raises its version by one. */
  onCommitted(): void;
}

export enum RolloutOutcome {
  Done = 'done',
  Aborted = 'aborted',
  /** Committed, but not every rank has been switched yet: `reconcile` has to be called again. */
  Unfinished = 'unfinished',
  LeaseLost = 'leaseLost',
  StoreUnavailable = 'storeUnavailable',
}

export interface Rollout {
  /** Rolls out a new map. */
  rollOut(map: ExpertMap): Promise<RolloutOutcome>;
  /** Switches every rank to the committed map, whatever state an earlier leader left behind. */
  reconcile(): Promise<RolloutOutcome>;
  /** The committed map; undefined when there is none or the table could not be read. */
  readCommitted(): Promise<MapRecord | undefined>;
}

/** Rollout numbers that each fencing number provides; those of the next leader start above them. */
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

  /** Sends one order to all ranks concurrently; true when all of them accepted it. */
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

  /**
   * Writes the map and the lease in one transaction, so that the commit fails if the lease is lost.
   */
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
      // The transaction may have been applied, so neither aborting nor completing the rollout is
      // safe. The next `reconcile` reads the row and switches every rank to the map found there.
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
