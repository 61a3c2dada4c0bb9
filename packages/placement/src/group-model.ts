/**
 * A model of a lock-step group under faults, for tests of the rollout: every order may be lost,
 * doubled or carried out much later; leaders end in the middle of a batch of orders and are
 * replaced; ranks fall out of sight; the group forms anew. It checks at each pass that all ranks
 * have one map.
 */
import { createRandom } from '@lapisbridge/kernel';

import { initialMap } from './expert-map.js';
import { leaderVersion } from './map-version.js';
import { HoldEndKind } from './plan-hold-end.js';
import type { HoldEnd } from './plan-hold-end.js';
import { planHoldRollout } from './plan-hold-rollout.js';
import { initialRollout, reportsAfter, RolloutPhase } from './rollout-state.js';
import type { AddressedOrder, RolloutPlan, RolloutState } from './rollout-state.js';
import { RankOrderKind } from './rank-report.js';
import type { ArmedMap, GroupMap, RankOrder, RankReport } from './rank-report.js';

interface ModelRank {
  active: number;
  prepared: number | undefined;
  armed: ArmedMap | undefined;
  held: number | undefined;
  highest: number;
}

interface LateOrder {
  readonly at: number;
  readonly addressed: AddressedOrder;
}

interface Leader {
  readonly rank: number;
  readonly formerRank: number | undefined;
  readonly fence: number;
  state: RolloutState;
  versions: number;
  voiding: number;
}

export interface ModelOptions {
  readonly seed: number;
  readonly ranks: number;
  /** Ticks with faults; as many without follow. */
  readonly ticks: number;
  /**
   * Reports of one look are read one after the other, and passes begin and late orders are carried
   * out in between, as they are where a leader asks many ranks.
   */
  readonly readsApart?: boolean;
  /** As how often lost orders are expected to go out; holds are planned further ahead for it. */
  readonly orderRounds?: number;
  /** A leader goes on from accepted orders to arm without reading all reports anew. */
  readonly actsOnAnswers?: boolean;
  /** How ranks end holds by themselves, each at moments of its own; they do not without it. */
  endHold?(report: RankReport): HoldEnd;
  /** Changes a plan before it is carried out; for proofs that a mechanism matters. */
  mutate?(plan: RolloutPlan, reports: readonly (RankReport | undefined)[]): RolloutPlan;
}

export interface ModelResult {
  /** A pass began while two ranks had different maps. */
  readonly mixedAt: number | undefined;
  /** Passes begun while no fault happened any more. */
  readonly calmPasses: number;
  readonly rollouts: number;
  /** Orders by which ranks ended holds. */
  readonly endedHolds: number;
}

/** Chances in one tick, or for one order. */
const LOST = 0.08;
const LATE = 0.15;
const DOUBLED = 0.08;
const OUT_OF_SIGHT = 0.06;
const LEADER_ENDS = 0.05;
const FORMS_ANEW = 0.01;
const NEW_TARGET = 0.4;
/** Between the reports of two ranks that are read apart. */
const PASS_BETWEEN = 0.15;
const LATE_ORDER_BETWEEN = 0.3;
/** A rank looks at its hold. */
const ENDS_HOLD = 0.3;
const LONGEST_DELAY = 40;

const MAP: GroupMap = { sets: [initialMap(4, 4)] };

export function runGroupModel(options: ModelOptions): ModelResult {
  const { ranks: size, ticks } = options;
  const random = createRandom(options.seed);
  const ranks: ModelRank[] = [];
  let epoch = 1;
  let step = 0;
  let fence = 1;
  let mixedAt: number | undefined;
  let calmPasses = 0;
  let rollouts = 0;
  let endedHolds = 0;
  let late: LateOrder[] = [];

  function formAnew(): void {
    ranks.length = 0;
    for (let rank = 0; rank < size; rank += 1) {
      ranks.push({ active: 0, prepared: undefined, armed: undefined, held: undefined, highest: 0 });
    }
  }

  function appoint(formerRank: number | undefined): Leader {
    fence += 1;
    const rank = Math.floor(random() * size);
    const voiding = leaderVersion(fence, 1);
    return { rank, formerRank, fence, state: initialRollout(-1), versions: 1, voiding };
  }

  /** Carries an order out as the engine would; a refused one changes nothing. */
  function carryOut(rank: ModelRank, order: RankOrder): boolean {
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

  /** Whether the order was carried out at once, as its answer then says. */
  function deliver(addressed: AddressedOrder, now: number, isCalm: boolean): boolean {
    const rank = ranks[addressed.rank];
    const chance = random();
    const delayed = { at: now + 1 + Math.floor(random() * LONGEST_DELAY), addressed };
    if (isCalm || chance >= LOST + LATE + DOUBLED) {
      return carryOut(rank, addressed.order);
    }
    if (chance >= LOST) late.push(delayed);
    return chance >= LOST + LATE && carryOut(rank, addressed.order);
  }

  function deliverLate(now: number): void {
    const due = late.filter(({ at }) => at <= now);
    late = late.filter(({ at }) => at > now);
    for (const { addressed } of due) {
      carryOut(ranks[addressed.rank], addressed.order);
    }
  }

  function happenBetween(now: number, isCalm: boolean): void {
    if (random() < LATE_ORDER_BETWEEN) {
      const next = late.shift();
      if (next !== undefined) carryOut(ranks[next.addressed.rank], next.addressed.order);
    }
    endHolds(now, isCalm);
    if (random() < PASS_BETWEEN) beginPass(now, isCalm);
  }

  function beginPass(now: number, isCalm: boolean): void {
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
    if (ranks.some(({ active }) => active !== ranks[0]?.active)) mixedAt ??= now;
    if (isCalm) calmPasses += 1;
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

  function endHolds(now: number, isCalm: boolean): void {
    if (options.endHold === undefined) return;
    for (let rank = 0; rank < size; rank += 1) {
      if (random() >= ENDS_HOLD) continue;
      const end = options.endHold(reportOf(rank));
      switch (end.kind) {
        case HoldEndKind.Keep:
          break;
        case HoldEndKind.Void: {
          const { version } = end;
          const order: RankOrder = { kind: RankOrderKind.Prepare, epoch, version, map: MAP };
          deliver({ rank, order }, now, isCalm);
          break;
        }
        case HoldEndKind.Release: {
          endedHolds += 1;
          const order: RankOrder = { kind: RankOrderKind.Release, epoch, step: end.step };
          deliver({ rank, order }, now, isCalm);
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
    leader.versions += 1;
    return leaderVersion(leader.fence, leader.versions);
  }

  function planOrders(leader: Leader, reports: readonly (RankReport | undefined)[]): RolloutPlan {
    const planned = planHoldRollout({
      state: leader.state,
      reports,
      ownRank: leader.rank,
      formerRank: leader.formerRank,
      passMilliseconds: 200,
      roundMilliseconds: 30,
      orderRounds: options.orderRounds ?? 1,
      voiding: { version: leader.voiding, map: MAP },
    });
    const plan = options.mutate?.(planned, reports) ?? planned;
    leader.state = plan.state;
    if (plan.phase === RolloutPhase.Done) rollouts += 1;
    const isFree = plan.phase === RolloutPhase.Idle || plan.phase === RolloutPhase.Done;
    if (isFree && leader.state.isSettled && random() < NEW_TARGET) {
      leader.state = { ...leader.state, target: { version: nextVersion(leader), map: MAP } };
    }
    return plan;
  }

  /** One look of a leader; false when it ended in the middle of its orders. */
  function look(leader: Leader, now: number, isCalm: boolean): boolean {
    const hidden = !isCalm && random() < OUT_OF_SIGHT ? Math.floor(random() * size) : -1;
    const isFormerFrozen = !isCalm && random() < 0.5;
    const reports = Array.from({ length: size }, (_, rank) => {
      if (options.readsApart === true) happenBetween(now, isCalm);
      if (rank === hidden && rank !== leader.rank) return undefined;
      if (isFormerFrozen && rank === leader.formerRank && rank !== leader.rank) return undefined;
      return reportOf(rank);
    });
    const { state } = leader;
    const isOutrun = reports.some((report) => (report?.preparedVersion ?? 0) > leader.voiding);
    if (isOutrun && (state.target === undefined || state.armsSent)) {
      leader.voiding = nextVersion(leader);
    }
    const highest = Math.max(...ranks.map((rank) => rank.highest));
    if (state.target !== undefined && !state.armsSent && highest > state.target.version) {
      leader.state = { ...state, target: undefined, heldStep: undefined };
    }
    let current: readonly (RankReport | undefined)[] | undefined = reports;
    while (current !== undefined) {
      const plan = planOrders(leader, current);
      const endsAfter =
        !isCalm && random() < LEADER_ENDS ? random() * plan.orders.length : Infinity;
      let accepted = 0;
      for (const [index, order] of plan.orders.entries()) {
        if (index >= endsAfter) return false;
        if (deliver(order, now, isCalm)) accepted += 1;
      }
      if (endsAfter !== Infinity) return false;
      const isAccepted = options.actsOnAnswers === true && accepted === plan.orders.length;
      current = isAccepted ? reportsAfter(current, plan.orders) : undefined;
      if (current !== undefined && options.readsApart === true) happenBetween(now, isCalm);
    }
    return true;
  }

  formAnew();
  let leader = appoint(undefined);
  for (let now = 0; now < ticks * 2; now += 1) {
    const isCalm = now >= ticks;
    deliverLate(now);
    if (!isCalm && random() < FORMS_ANEW) {
      epoch += 1;
      step = 0;
      formAnew();
    }
    if (!look(leader, now, isCalm)) {
      // Only a leader that was heard to be settled armed its own rank last.
      leader = appoint(leader.state.isSettled ? leader.rank : undefined);
    }
    endHolds(now, isCalm);
    if (random() < 0.6) beginPass(now, isCalm);
  }
  return { mixedAt, calmPasses, rollouts, endedHolds };
}
