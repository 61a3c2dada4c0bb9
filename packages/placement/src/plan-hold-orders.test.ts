import { describe, expect, it } from 'vitest';

import { initialMap } from './expert-map.js';
import { planGroupMap } from './plan-group-map.js';
import { planHoldRollout } from './plan-hold-rollout.js';
import { initialRolloutState, RolloutPhase } from './rollout-state.js';
import type { RolloutInput, RolloutPlan, RolloutState } from './rollout-state.js';
import { RankOrderKind } from './rank-report.js';
import type { RankReport } from './rank-report.js';

const RANKS = 4;
const MAP = { sets: [initialMap(8, RANKS)] };
const TARGET = { version: 7, map: MAP };
const VOIDING = { version: 5, map: MAP };

function report(rank: number, fields: Partial<RankReport> = {}): RankReport {
  return {
    group: 'group',
    rank,
    size: RANKS,
    epoch: 1,
    isOpen: true,
    step: 100,
    activeVersion: 3,
    preparedVersion: undefined,
    armed: undefined,
    heldStep: undefined,
    pace: 1,
    running: 0,
    waiting: 0,
    ...fields,
  };
}

function plan(
  reports: readonly (RankReport | undefined)[],
  state: Partial<RolloutState>,
  input: Partial<RolloutInput> = {},
): RolloutPlan {
  return planHoldRollout({
    state: { ...initialRolloutState(1), ...state },
    reports,
    ownRank: 0,
    formerRank: undefined,
    passMilliseconds: 40,
    reportRoundMilliseconds: 10,
    expectedOrderAttempts: 1,
    voidingTarget: VOIDING,
    ...input,
  });
}

const ranks = [0, 1, 2, 3];
const prepared = ranks.map((rank) => report(rank, { preparedVersion: 7 }));
const settled = { isSettled: true, target: TARGET };

describe('orders of a rollout', () => {
  it('hold a pass that the group does not reach before all ranks are armed', () => {
    // With a hold two passes ahead, a group with short passes waited until the last rank was armed,
    // and every open stream paused for longer than its readers accept.
    for (const passMilliseconds of [30, 45, 90]) {
      const [first] = plan(prepared, settled, { passMilliseconds }).orders;
      const step = first?.order.kind === RankOrderKind.Hold ? first.order.step : 0;
      expect((step - 100) * passMilliseconds).toBeGreaterThanOrEqual(160);
    }
  });

  it('hold a later pass when orders are left unanswered', () => {
    // Ranks leave a tenth of their orders unanswered, and some have to be told to arm a second or
    // third time. If the group reaches the hold before the last one is armed, every open stream
    // pauses.
    const stepOf = (expectedOrderAttempts: number): number => {
      const input = { passMilliseconds: 60, reportRoundMilliseconds: 60, expectedOrderAttempts };
      const [first] = plan(prepared, settled, input).orders;
      return first?.order.kind === RankOrderKind.Hold ? first.order.step : 0;
    };
    expect((stepOf(3) - stepOf(1)) * 60).toBeGreaterThanOrEqual(2 * 2 * 60);
  });

  it('hold at another rank than the leader’s own', () => {
    // When a leader freezes, the rank on its machine cannot be reached, and a hold there would stop
    // the group until the machine resumes.
    expect(plan(prepared, settled).orders[0]?.rank).not.toBe(0);
  });

  it('arm the rank that holds first, the leader’s own only after all others', () => {
    const held = prepared.map((one) => (one.rank === 1 ? { ...one, heldStep: 105 } : one));
    const state = { ...settled, heldStep: 105 };
    expect(plan(held, state).orders.map(({ rank }) => rank)).toEqual([1]);
    const arm = (one: RankReport): RankReport => ({ ...one, armed: { version: 7, step: 105 } });
    const guarded = held.map((one) => (one.rank === 1 ? arm(one) : one));
    const armingState = { ...state, armsSentUnderHold: true };
    expect(plan(guarded, armingState).orders.map(({ rank }) => rank)).toEqual([2, 3]);
    const armed = held.map((one) => (one.rank === 0 ? one : arm(one)));
    expect(plan(armed, armingState).orders.map(({ rank }) => rank)).toEqual([0]);
  });

  it('void and then release a hold whose leader is unreachable', () => {
    // The leader's machine froze just after it held the group: rank 3 does not answer.
    const seen = prepared.map((one) => {
      if (one.rank === 3) return undefined;
      return one.rank === 1 ? { ...one, heldStep: 105 } : one;
    });
    const voiding = plan(seen, {}, { formerRank: 3, voidingTarget: { version: 9, map: MAP } });
    expect(voiding.phase).toBe(RolloutPhase.Clearing);
    expect(voiding.orders.every(({ order }) => order.kind === RankOrderKind.Prepare)).toBe(true);
    const voided = seen.map((one) => (one === undefined ? one : { ...one, preparedVersion: 9 }));
    const released = plan(voided, {}, { formerRank: 3, voidingTarget: { version: 9, map: MAP } });
    expect(released.orders).toEqual([
      { rank: 1, order: { kind: RankOrderKind.Release, epoch: 1, step: 105 } },
    ]);
  });

  it('keep a hold while the report of a rank that may be armed is missing', () => {
    const seen = prepared.map((one) => {
      if (one.rank === 3) return undefined;
      return one.rank === 1 ? { ...one, heldStep: 105 } : one;
    });
    expect(plan(seen, {}, { formerRank: 2 }).orders).toEqual([]);
  });

  it('release the leader’s own hold when reports are missing before any rank was armed', () => {
    const seen = prepared.map((one) => (one.rank === 3 ? undefined : one));
    const { orders, state } = plan(seen, { ...settled, heldStep: 105 });
    expect(orders.map(({ order }) => order.kind)).toEqual([RankOrderKind.Release]);
    expect(state.abandonedSteps.has(105)).toBe(true);
  });
});

describe('maps of a whole group', () => {
  it('relieve a hot expert by loading at most one expert per rank and set', async () => {
    const tokens = [100, 1, 1, 1, 1, 1, 1, 1];
    const load = { tokens, speeds: [1, 1, 1, 1] };
    const policy = { placesPerRank: 3, newPerRank: 1, minimumGain: 0.1 };
    const decision = await planGroupMap(MAP, [load], policy, async () => undefined);
    expect(decision.isWorthwhile).toBe(true);
    expect(decision.skewBefore).toBeGreaterThan(3);
    expect(decision.skewAfter).toBeLessThan(1.1);
    for (const [rank, held] of decision.map.sets[0]?.experts.entries() ?? []) {
      const before = new Set(MAP.sets[0]?.experts[rank]);
      expect(held.filter((expert) => !before.has(expert)).length).toBeLessThanOrEqual(1);
      expect(held.length).toBeLessThanOrEqual(3);
    }
  });

  it('stay in force when the load is even', async () => {
    const load = { tokens: new Array(8).fill(10), speeds: [1, 1, 1, 1] };
    const policy = { placesPerRank: 3, newPerRank: 1, minimumGain: 0.1 };
    const decision = await planGroupMap(MAP, [load], policy, async () => undefined);
    expect(decision).toMatchObject({ isWorthwhile: false, moves: 0 });
  });
});
