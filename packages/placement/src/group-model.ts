/**
 * Simulation of a lock-step group under faults, for tests of the rollout. Orders are lost,
 * duplicated or delayed; leaders stop in the middle of a batch of orders and are replaced; ranks
 * become unreachable; the group re-forms. Each pass is checked for all ranks having the same map.
 */
import { createRandom } from '@lapisbridge/kernel';

import { initialMap } from './expert-map.js';
import { leaderVersion } from './map-version.js';
import { HoldEndKind } from './plan-hold-end.js';
import type { HoldEnd } from './plan-hold-end.js';
import { planHoldRollout } from './plan-hold-rollout.js';
import { initialRolloutState, reportsAfterOrders, RolloutPhase } from './rollout-state.js';
import type { AddressedOrder, RolloutPlan, RolloutState } from './rollout-state.js';
import { RankOrderKind } from './rank-report.js';
import type { ArmedMap, GroupMap, RankOrder, RankReport } from './rank-report.js';

interface ModelRank {
  /** Version in force. */
  active: number;
  prepared: number | undefined;
  armed: ArmedMap | undefined;
  /** Pass that the rank holds. */
  held: number | undefined;
  /** Highest version prepared since the group formed. */
  highest: number;
}

interface DelayedOrder {
  readonly at: number;
  readonly addressed: AddressedOrder;
}

interface Leader {
  readonly rank: number;
  readonly formerRank: number | undefined;
  readonly fencingNumber: number;
  state: RolloutState;
  versionCount: number;
  voidingVersion: number;
}

export interface ModelOptions {
  readonly seed: number;
  readonly ranks: number;
  /** Number of ticks with faults, which are followed by as many without. */
  readonly ticks: number;
  /**
   * Whether the reports of one round are read one after the other, with passes and delayed orders
   * in between, as happens when a leader asks many ranks.
   */
  readonly readsReportsSequentially?: boolean;
  /** See `RolloutInput`; holds are planned further ahead when it is higher. */
  readonly expectedOrderAttempts?: number;
  /** Whether a leader continues after accepted orders to arm without reading all reports again. */
  readonly armsWithoutRereading?: boolean;
  /** Decides when ranks end holds by themselves; they never do without it. */
  endHold?(report: RankReport): HoldEnd;
  /** Changes a plan before it is carried out, to show that the tests detect a missing safeguard. */
  mutate?(plan: RolloutPlan, reports: readonly (RankReport | undefined)[]): RolloutPlan;
}

export interface ModelResult {
  /** Tick at which a pass first started while two ranks had different maps. */
  readonly mixedMapsAt: number | undefined;
  /** Passes started in the ticks without faults. */
  readonly faultFreePasses: number;
  readonly rollouts: number;
  /** Orders by which ranks ended holds by themselves. */
  readonly endedHolds: number;
}

/** Probabilities in each tick, or for each order. */
const LOSS_PROBABILITY = 0.08;
const DELAY_PROBABILITY = 0.15;
const DUPLICATION_PROBABILITY = 0.08;
const UNREACHABLE_PROBABILITY = 0.06;
const LEADER_STOP_PROBABILITY = 0.05;
const REFORMATION_PROBABILITY = 0.01;
const NEW_TARGET_PROBABILITY = 0.4;
/** Between the reports of two ranks that are read one after the other. */
const INTERLEAVED_PASS_PROBABILITY = 0.15;
const INTERLEAVED_ORDER_PROBABILITY = 0.3;
/** That a rank checks whether to end its hold. */
const HOLD_CHECK_PROBABILITY = 0.3;
const MAXIMUM_DELAY_TICKS = 40;

const MAP: GroupMap = { sets: [initialMap(4, 4)] };

export function runGroupModel(options: ModelOptions): ModelResult {
  const { ranks: size, ticks } = options;
  const random = createRandom(options.seed);
  const ranks: ModelRank[] = [];
  let epoch = 1;
  let step = 0;
  let fencingNumber = 1;
  let mixedMapsAt: number | undefined;
  let faultFreePasses = 0;
  let rollouts = 0;
  let endedHolds = 0;
  let delayedOrders: DelayedOrder[] = [];

  function reformGroup(): void {
    ranks.length = 0;
    for (let rank = 0; rank < size; rank += 1) {
      ranks.push({ active: 0, prepared: undefined, armed: undefined, held: undefined, highest: 0 });
    }
  }

  function appointLeader(formerRank: number | undefined): Leader {
    fencingNumber += 1;
    const rank = Math.floor(random() * size);
    const voidingVersion = leaderVersion(fencingNumber, 1);
    return {
      rank,
      formerRank,
      fencingNumber,
      state: initialRolloutState(-1),
      versionCount: 1,
      voidingVersion,
    };
  }

  /** Carries out an order as the engine would; false when it is refused and changes nothing. */
  function applyOrder(rank: ModelRank, order: RankOrder): boolean {
    if (order.epoch !== epoch) return false;
    switch (order.kind) {
      case RankOrderKind.Prepare:
        if (order.version <= rank.highest || rank.armed !== undefined) return false;
        rank.highest = order.version;
        rank.prepared = order.version;
        return true;
      case RankOrderKind.Arm:
        if (rank.prepared !== order.version || order.step <= step) return false;
        rank.armed = { version: order.version, step: order.step };
        return true;
      case RankOrderKind.Disarm:
        if (rank.armed?.version === order.version) rank.armed = undefined;
        return true;
      case RankOrderKind.Hold:
        if (order.step <= step || rank.held !== undefined) return false;
        rank.held = order.step;
        return true;
      case RankOrderKind.Release:
        if (rank.held === order.step) rank.held = undefined;
        return true;
      default: {
        const unreachable: never = order;
        throw new Error(String(unreachable));
      }
    }
  }

  /** Returns whether the order was accepted at once, which is what its answer tells the leader. */
  function deliver(addressed: AddressedOrder, now: number, isFaultFree: boolean): boolean {
    const rank = ranks[addressed.rank];
    const chance = random();
    const delayedOrder = { at: now + 1 + Math.floor(random() * MAXIMUM_DELAY_TICKS), addressed };
    if (isFaultFree || chance >= LOSS_PROBABILITY + DELAY_PROBABILITY + DUPLICATION_PROBABILITY) {
      return applyOrder(rank, addressed.order);
    }
    if (chance >= LOSS_PROBABILITY) delayedOrders.push(delayedOrder);
    return chance >= LOSS_PROBABILITY + DELAY_PROBABILITY && applyOrder(rank, addressed.order);
  }

  function deliverDelayedOrders(now: number): void {
    const due = delayedOrders.filter(({ at }) => at <= now);
    delayedOrders = delayedOrders.filter(({ at }) => at > now);
    for (const { addressed } of due) {
      applyOrder(ranks[addressed.rank], addressed.order);
    }
  }

  function interleaveEvents(now: number, isFaultFree: boolean): void {
    if (random() < INTERLEAVED_ORDER_PROBABILITY) {
      const next = delayedOrders.shift();
      if (next !== undefined) applyOrder(ranks[next.addressed.rank], next.addressed.order);
    }
    endHolds(now, isFaultFree);
    if (random() < INTERLEAVED_PASS_PROBABILITY) beginPass(now, isFaultFree);
  }

  function beginPass(now: number, isFaultFree: boolean): void {
    const next = step + 1;
    if (ranks.some(({ held }) => held === next)) return;
    step = next;
    for (const rank of ranks) {
      if (rank.armed?.step === step) {
        rank.active = rank.armed.version;
        rank.armed = undefined;
        rank.prepared = undefined;
      }
    }
    if (ranks.some(({ active }) => active !== ranks[0]?.active)) mixedMapsAt ??= now;
    if (isFaultFree) faultFreePasses += 1;
  }

  function reportOf(rank: number): RankReport {
    const { active, prepared, armed, held } = ranks[rank];
    return {
      group: 'group',
      rank,
      size,
      epoch,
      isOpen: true,
      step,
      activeVersion: active,
      preparedVersion: prepared,
      armed,
      heldStep: held,
      pace: 1,
      running: 0,
      waiting: 0,
    };
  }

  function endHolds(now: number, isFaultFree: boolean): void {
    if (options.endHold === undefined) return;
    for (let rank = 0; rank < size; rank += 1) {
      if (random() >= HOLD_CHECK_PROBABILITY) continue;
      const end = options.endHold(reportOf(rank));
      switch (end.kind) {
        case HoldEndKind.Keep:
          break;
        case HoldEndKind.Void: {
          const { version } = end;
          const order: RankOrder = { kind: RankOrderKind.Prepare, epoch, version, map: MAP };
          deliver({ rank, order }, now, isFaultFree);
          break;
        }
        case HoldEndKind.Release: {
          endedHolds += 1;
          const order: RankOrder = { kind: RankOrderKind.Release, epoch, step: end.step };
          deliver({ rank, order }, now, isFaultFree);
          break;
        }
        default: {
          const unreachable: never = end;
          throw new Error(String(unreachable));
        }
      }
    }
  }

  function nextVersion(leader: Leader): number {
    leader.versionCount += 1;
    return leaderVersion(leader.fencingNumber, leader.versionCount);
  }

  function planOrders(leader: Leader, reports: readonly (RankReport | undefined)[]): RolloutPlan {
    const planned = planHoldRollout({
      state: leader.state,
      reports,
      ownRank: leader.rank,
      formerRank: leader.formerRank,
      passMilliseconds: 200,
      reportRoundMilliseconds: 30,
      expectedOrderAttempts: options.expectedOrderAttempts ?? 1,
      voidingTarget: { version: leader.voidingVersion, map: MAP },
    });
    const plan = options.mutate?.(planned, reports) ?? planned;
    leader.state = plan.state;
    if (plan.phase === RolloutPhase.Done) rollouts += 1;
    const isFree = plan.phase === RolloutPhase.Idle || plan.phase === RolloutPhase.Done;
    if (isFree && leader.state.isSettled && random() < NEW_TARGET_PROBABILITY) {
      leader.state = { ...leader.state, target: { version: nextVersion(leader), map: MAP } };
    }
    return plan;
  }

  /**
   * One round of reports and orders of a leader; false when it stopped in the middle of its orders.
   */
  function runLeaderRound(leader: Leader, now: number, isFaultFree: boolean): boolean {
    const unreachableRank =
      !isFaultFree && random() < UNREACHABLE_PROBABILITY ? Math.floor(random() * size) : -1;
    const isFormerFrozen = !isFaultFree && random() < 0.5;
    const reports = Array.from({ length: size }, (_, rank) => {
      if (options.readsReportsSequentially === true) interleaveEvents(now, isFaultFree);
      if (rank === unreachableRank && rank !== leader.rank) return undefined;
      if (isFormerFrozen && rank === leader.formerRank && rank !== leader.rank) return undefined;
      return reportOf(rank);
    });
    const { state } = leader;
    const isVoidingVersionOvertaken = reports.some(
      (report) => (report?.preparedVersion ?? 0) > leader.voidingVersion,
    );
    if (isVoidingVersionOvertaken && (state.target === undefined || state.armsSentUnderHold)) {
      leader.voidingVersion = nextVersion(leader);
    }
    const highest = Math.max(...ranks.map((rank) => rank.highest));
    if (state.target !== undefined && !state.armsSentUnderHold && highest > state.target.version) {
      leader.state = { ...state, target: undefined, heldStep: undefined };
    }
    let current: readonly (RankReport | undefined)[] | undefined = reports;
    while (current !== undefined) {
      const plan = planOrders(leader, current);
      const stopsAfter =
        !isFaultFree && random() < LEADER_STOP_PROBABILITY
          ? random() * plan.orders.length
          : Infinity;
      let accepted = 0;
      for (const [index, order] of plan.orders.entries()) {
        if (index >= stopsAfter) return false;
        if (deliver(order, now, isFaultFree)) accepted += 1;
      }
      if (stopsAfter !== Infinity) return false;
      const isAccepted = options.armsWithoutRereading === true && accepted === plan.orders.length;
      current = isAccepted ? reportsAfterOrders(current, plan.orders) : undefined;
      if (current !== undefined && options.readsReportsSequentially === true)
        interleaveEvents(now, isFaultFree);
    }
    return true;
  }

  reformGroup();
  let leader = appointLeader(undefined);
  for (let now = 0; now < ticks * 2; now += 1) {
    const isFaultFree = now >= ticks;
    deliverDelayedOrders(now);
    if (!isFaultFree && random() < REFORMATION_PROBABILITY) {
      epoch += 1;
      step = 0;
      reformGroup();
    }
    if (!runLeaderRound(leader, now, isFaultFree)) {
      // Only a leader that was known to be settled is sure to have armed its own rank last.
      leader = appointLeader(leader.state.isSettled ? leader.rank : undefined);
    }
    endHolds(now, isFaultFree);
    if (random() < 0.6) beginPass(now, isFaultFree);
  }
  return { mixedMapsAt, faultFreePasses, rollouts, endedHolds };
}
