/**
 * The rank's side of expert maps: decides about each order of the group's leader, has the
 * engine carry it out, and only then lets the new state hold. Orders are taken one at a time.
 */
import { ResultCode } from '@lapisbridge/errors';
import type { Logger } from '@lapisbridge/logger';
import { INITIAL_RANK_STATE, planRankOrder, RankStep } from '@lapisbridge/placement';
import type { ExpertMap, RankState } from '@lapisbridge/placement';
import { MessageKind } from '@lapisbridge/wire';
import type { RankOrder, RankReply } from '@lapisbridge/wire';

import type { RankEngine } from './rank-engine.js';

export interface RankAgentOptions {
  readonly engine: RankEngine;
  readonly logger: Logger;
  /** Fencing number of the lease row; undefined while it could not be read. */
  seenFencingNumber(): Promise<number | undefined>;
}

export interface RankAgent {
  obey(order: RankOrder): Promise<RankReply>;
}

/** Sent along with the orders that need none. */
const NO_MAP: ExpertMap = { experts: [] };
/** Marks a pause that this sidecar knows nothing of: no rollout may go on from it. */
const UNKNOWN_ROLLOUT = 1;

export function createRankAgent(options: RankAgentOptions): RankAgent {
  const { engine, logger } = options;
  let state: RankState = INITIAL_RANK_STATE;
  let fenced = false;
  let bootId = '';
  let queue: Promise<unknown> = Promise.resolve();

  /** Takes over what the engine says of itself: it may have restarted, or this sidecar may. */
  async function lookAtEngine(): Promise<void> {
    const status = await engine.status();
    if (status.bootId === bootId) return;
    bootId = status.bootId;
    state = {
      ...state,
      activeVersion: status.activeVersion,
      preparedVersion: 0,
      pausedForRollout: status.paused ? UNKNOWN_ROLLOUT : 0,
    };
  }

  /** Without the group's fencing number a new sidecar would obey a leader that is long past. */
  async function learnFencingNumber(): Promise<boolean> {
    if (fenced) return true;
    const seen = await options.seenFencingNumber();
    if (seen === undefined) return false;
    fenced = true;
    state = { ...state, fencingNumber: Math.max(state.fencingNumber, seen) };
    return true;
  }

  function reply(order: RankOrder, code: ResultCode, statistics = ''): RankReply {
    return {
      kind: MessageKind.RankReply,
      orderId: order.orderId,
      code,
      activeVersion: state.activeVersion,
      paused: state.pausedForRollout !== 0,
      statistics,
    };
  }

  async function carryOut(order: RankOrder): Promise<RankReply> {
    if (!(await learnFencingNumber())) return reply(order, ResultCode.StoreUnavailable);
    await lookAtEngine();
    const step = order.step as RankStep;
    const decision = planRankOrder(state, { ...order, step });
    if (step !== RankStep.Query) {
      logger.decision({
        kind: 'rankOrder',
        subject: order.group,
        choice: `${step} ${order.mapVersion}`,
        reason: `rollout ${order.rollout}, fencing number ${order.fencingNumber}`,
        code: decision.code,
      });
    }
    if (decision.effect !== undefined) {
      const map = order.map === '' ? NO_MAP : (JSON.parse(order.map) as ExpertMap);
      await engine.order(decision.effect, order.mapVersion, map, order.fencingNumber);
    }
    state = decision.state;
    if (step !== RankStep.Query) return reply(order, decision.code);
    return reply(order, decision.code, JSON.stringify(await engine.statistics()));
  }

  async function obey(order: RankOrder): Promise<RankReply> {
    try {
      return await carryOut(order);
    } catch (thrown) {
      logger.warn('rank order failed', { step: order.step, reason: (thrown as Error).message });
      return reply(order, ResultCode.PrepareFailed);
    }
  }

  return {
    obey(order) {
      const result = queue.then(() => obey(order));
      queue = result;
      return result;
    },
  };
}
