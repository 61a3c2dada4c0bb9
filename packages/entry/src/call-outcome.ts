/**
 * Finds out what became of an at-most-once call, for a truthful answer: from its claim row,
 * by following whoever runs it, or from the sidecars' memory while the table is down.
 */
import { randomUUID } from 'node:crypto';

import { claimKey, outcomeFromRow, proveNotRun } from '@lapisbridge/at-most-once';
import type { OutcomeReport, StoredResult } from '@lapisbridge/at-most-once';
import { sleep } from '@lapisbridge/kernel';
import type { Platform, StoreWatcher } from '@lapisbridge/platform';
import { RequestOutcome } from '@lapisbridge/types';

import type { BackendPool } from './backend-pool.js';
import type { Deadline } from './deadline.js';
import { provesNotRun } from './plan-memory-proof.js';

export interface CallKey {
  readonly environment: string;
  readonly service: string;
  readonly account: string;
  readonly idempotencyKey: string;
  readonly digest: string;
}

export interface CallOutcomes {
  /** Reads the row; while the table is down, asks the sidecars. Writes nothing. */
  look(key: CallKey): Promise<OutcomeReport>;
  /** Makes "not run" certain by a write, or tells what the call became. */
  prove(key: CallKey, attempt: string): Promise<OutcomeReport>;
  /** Waits for the result of a call that another attempt runs. */
  follow(key: CallKey, deadline: Deadline): Promise<OutcomeReport>;
  loadResult(proof: OutcomeReport): Promise<StoredResult | undefined>;
}

const FOLLOW_MILLISECONDS = 50;
const MAXIMUM_FOLLOW_MILLISECONDS = 1000;
const OWNER_CONNECT_MILLISECONDS = 700;
/** Time kept back so that the answer reaches the caller before its deadline. */
const RETURN_MILLISECONDS = 30;

export function createCallOutcomes(
  platform: Platform,
  pool: BackendPool,
  storeWatcher: StoreWatcher,
): CallOutcomes {
  const { table, objects } = platform;

  async function readRow(key: CallKey): Promise<OutcomeReport> {
    const row = await table.read(claimKey(key.environment, key.account, key.idempotencyKey));
    return outcomeFromRow(row);
  }

  async function fromMemory(key: CallKey): Promise<OutcomeReport> {
    const answers = await pool.queryKey(key.service, key.account, key.idempotencyKey);
    const outcome = provesNotRun(answers) ? RequestOutcome.NotRun : RequestOutcome.Unknown;
    return { outcome, known: outcome === RequestOutcome.NotRun };
  }

  /** The owner of a claim is gone for good when no new connection to it comes about. */
  async function ownerLives(proof: OutcomeReport): Promise<boolean> {
    if (proof.instanceId === undefined || proof.instanceId === '') return false;
    return pool.connect(proof.instanceId, OWNER_CONNECT_MILLISECONDS);
  }

  return {
    async look(key) {
      if (!storeWatcher.reachable) return fromMemory(key);
      try {
        return await readRow(key);
      } catch {
        storeWatcher.note(false);
        return fromMemory(key);
      }
    },
    async prove(key, attempt) {
      if (!storeWatcher.reachable) return { outcome: RequestOutcome.Unknown, known: false };
      const call = { ...key, attempt };
      return proveNotRun(table, key.environment, call, { createNonce: randomUUID });
    },
    async follow(key, deadline) {
      let pause = FOLLOW_MILLISECONDS;
      const unknown: OutcomeReport = { outcome: RequestOutcome.Unknown, known: false };
      while (deadline.remaining() > pause + RETURN_MILLISECONDS) {
        const proof = await readRow(key).catch(() => unknown);
        if (!proof.known || proof.outcome !== RequestOutcome.Running) return proof;
        if (!(await ownerLives(proof))) return unknown;
        await sleep(pause);
        pause = Math.min(pause * 2, MAXIMUM_FOLLOW_MILLISECONDS);
      }
      return { outcome: RequestOutcome.Running, known: true };
    },
    async loadResult(proof) {
      if (proof.result !== undefined) return proof.result;
      if (proof.resultObject === undefined) return undefined;
      const stored = await objects.read(proof.resultObject).catch(() => null);
      return stored === null ? undefined : (stored as StoredResult);
    },
  };
}
