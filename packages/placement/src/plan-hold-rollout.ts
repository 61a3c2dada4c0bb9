/**
 * Decides the next orders that bring a group onto one new map in one and the same pass. Pure:
 * fresh reports of all ranks and what this leader has done go in, orders come out.
 *
 * Any order may be lost, or carried out seconds after it was given up. So nothing rests on
 * order or time, only on what reports show:
 *
 * - a rank is armed only while a hold is seen to keep the group from beginning that pass, and
 *   only after the same version was seen prepared at every rank;
 * - a hold is released only when every rank is seen armed with one version for its pass, or
 *   when no rank can be armed any more: no rank was ever sent that order, or a newer version
 *   was prepared at every rank since, which makes every earlier order to arm void;
 * - after a release that armed nothing, that pass is never used again;
 * - a rank that holds the pass is armed before all others and disarmed after them: until it is
 *   armed it may end the hold by itself (`planHoldEnd`).
 *
 * A leader that takes over finds holds it knows nothing of. It finishes what was armed, since
 * its predecessor armed only what all had prepared; what it cannot tell it makes void.
 *
 * The leader may freeze with its whole machine, rank and all, while a hold stands, and every
 * caller would wait for it. So holds stand at another rank, and a leader arms its own rank last:
 * as long as another rank is not armed, the frozen one is not either, and its successor can
 * clear the hold without it.
 */
import { planClearing, planWithoutFormerLeader } from './plan-clearing.js';
import { RankOrderKind } from './rank-report.js';
import type { RankOrder, RankReport } from './rank-report.js';
import {
  holdingRankOf,
  initialRolloutState,
  isArmedFor,
  lowestHeldStep,
  planArmOrders,
  releaseOrders,
  RolloutPhase,
  selectOrders,
} from './rollout-state.js';
import type { RolloutInput, RolloutPlan, RolloutTarget } from './rollout-state.js';

/**
 * Shortest time from the order to hold until the release arrives, in milliseconds: three rounds
 * of reports and orders of about 30 ms each, and slack. The group must not reach the held pass
 * sooner, or all its streams pause.
 */
const MINIMUM_ROLLOUT_MILLISECONDS = 160;
/** Rounds of reports or of orders from the hold to the release; orders take about as long. */
const ROUNDS_PER_ROLLOUT = 4;
/** An order that got no answer takes a look and another round of orders. */
const ROUNDS_PER_RETRY = 2;
const SLACK_MILLISECONDS = 20;
const MINIMUM_STEPS_AHEAD = 2;
/** Further ahead the old map would stay in force for long. */
const MAXIMUM_STEPS_AHEAD = 12;

/** The pass that runs when a report is read is half over on average. */
const RUNNING_PASS_SHARE = 0.5;

/**
 * Passes between the one that runs and the one that is held. One more than needed costs a whole
 * pass with the old map; one too few, and all streams of the group pause.
 */
function stepsAhead({
  passMilliseconds,
  reportRoundMilliseconds,
  expectedOrderAttempts,
}: RolloutInput): number {
  const retryMilliseconds =
    (expectedOrderAttempts - 1) * ROUNDS_PER_RETRY * reportRoundMilliseconds;
  const rolloutMilliseconds =
    Math.max(
      MINIMUM_ROLLOUT_MILLISECONDS,
      ROUNDS_PER_ROLLOUT * reportRoundMilliseconds + SLACK_MILLISECONDS,
    ) + retryMilliseconds;
  const neededSteps = Math.ceil(
    rolloutMilliseconds / Math.max(1, passMilliseconds) + RUNNING_PASS_SHARE,
  );
  return Math.min(MAXIMUM_STEPS_AHEAD, Math.max(MINIMUM_STEPS_AHEAD, neededSteps));
}

interface GroupView {
  readonly reports: readonly RankReport[];
  /** Every rank is in the view; otherwise only the former leader's is missing. */
  readonly isComplete: boolean;
}

/** Reports of one epoch: of all ranks, or of all but the former leader's. */
function groupViewOf(input: RolloutInput): GroupView | undefined {
  const seen: RankReport[] = [];
  let isComplete = true;
  for (const [rank, report] of input.reports.entries()) {
    if (report === undefined) {
      if (rank !== input.formerRank || rank === input.ownRank) return undefined;
      isComplete = false;
      continue;
    }
    const first = seen[0] ?? report;
    if (!report.isOpen || report.epoch !== first.epoch) return undefined;
    seen.push(report);
  }
  const size = seen[0]?.size;
  return size !== undefined && input.reports.length === size
    ? { reports: seen, isComplete }
    : undefined;
}

/** Under this leader's own hold: arm every rank, then let the group go on. */
function planArming(
  input: RolloutInput,
  reports: readonly RankReport[],
  target: RolloutTarget,
  step: number,
): RolloutPlan {
  const { state } = input;
  const { epoch } = state;
  const { version } = target;
  if (reports.every((report) => isArmedFor(report, version, step))) {
    return { phase: RolloutPhase.Releasing, orders: releaseOrders(reports, step, epoch), state };
  }
  const canArm = reports.every(
    (report) => isArmedFor(report, version, step) || report.preparedVersion === version,
  );
  if (!canArm) {
    if (state.armsSentUnderHold) return planClearing(input, reports, step);
    const abandonedSteps = new Set([...state.abandonedSteps, step]);
    const abandonedState = { ...state, target: undefined, heldStep: undefined, abandonedSteps };
    const orders = releaseOrders(reports, step, epoch);
    return { phase: RolloutPhase.Clearing, orders, state: abandonedState };
  }
  const orders = planArmOrders(input, reports, version, step);
  const armingState = { ...state, armsSentUnderHold: true, armsSentSinceSettled: true };
  return { phase: RolloutPhase.Arming, orders, state: armingState };
}

function planPreparing(
  input: RolloutInput,
  reports: readonly RankReport[],
  target: RolloutTarget,
): RolloutPlan {
  const { state } = input;
  const { epoch } = state;
  const { version, map } = target;
  const unprepared = selectOrders(reports, (report) =>
    report.preparedVersion === version
      ? undefined
      : { kind: RankOrderKind.Prepare, epoch, version, map },
  );
  if (unprepared.length > 0) return { phase: RolloutPhase.Preparing, orders: unprepared, state };
  const ahead = stepsAhead(input);
  let step = ahead;
  for (const report of reports) step = Math.max(step, report.step + ahead);
  while (state.abandonedSteps.has(step)) step += 1;
  const order: RankOrder = { kind: RankOrderKind.Hold, epoch, step };
  return {
    phase: RolloutPhase.Holding,
    orders: [{ rank: holdingRankOf(input), order }],
    state: { ...state, heldStep: step, armsSentUnderHold: false },
  };
}

/** Ranks are out of sight: a hold under which nothing was armed must not keep the others. */
function planWithIncompleteReports(input: RolloutInput): RolloutPlan {
  const { state } = input;
  const { heldStep, epoch } = state;
  const phase = RolloutPhase.IncompleteReports;
  if (heldStep === undefined || state.armsSentUnderHold) return { phase, orders: [], state };
  const order: RankOrder = { kind: RankOrderKind.Release, epoch, step: heldStep };
  const abandonedSteps = new Set([...state.abandonedSteps, heldStep]);
  return {
    phase,
    orders: [{ rank: holdingRankOf(input), order }],
    state: { ...state, heldStep: undefined, abandonedSteps },
  };
}

export function planHoldRollout(input: RolloutInput): RolloutPlan {
  const view = groupViewOf(input);
  if (view === undefined) return planWithIncompleteReports(input);
  const { reports, isComplete } = view;
  const epoch = reports[0]?.epoch ?? 0;
  // Nothing of an earlier epoch is left: the group formed anew with its first map.
  const knownState = epoch === input.state.epoch ? input.state : initialRolloutState(epoch);
  if (!isComplete) {
    // What this leader began itself it can judge only with all ranks in sight.
    if (knownState.target !== undefined || knownState.armsSentSinceSettled)
      return planWithIncompleteReports({ ...input, state: knownState });
    return planWithoutFormerLeader({ ...input, state: knownState }, reports);
  }
  const heldStep = lowestHeldStep(reports);
  const isAnyArmed = reports.some((report) => report.armed !== undefined);
  const isGroupFree = heldStep === undefined && !isAnyArmed;
  // Where the hold was ended before all ranks were armed, nothing of it is left.
  const state = isGroupFree
    ? { ...knownState, isSettled: true, armsSentSinceSettled: false, armsSentUnderHold: false }
    : knownState;
  const current = { ...input, state };
  const { target } = state;
  if (isGroupFree && target !== undefined) {
    if (reports.every((report) => report.activeVersion === target.version)) {
      const done = { ...state, target: undefined, heldStep: undefined, armsSentUnderHold: false };
      return { phase: RolloutPhase.Done, orders: [], state: done };
    }
    return planPreparing(current, reports, target);
  }
  if (isGroupFree) return { phase: RolloutPhase.Idle, orders: [], state };
  const isOwnHold =
    target !== undefined &&
    heldStep !== undefined &&
    heldStep === state.heldStep &&
    reports.some(
      (report) => report.heldStep === heldStep && report.rank === holdingRankOf(input),
    ) &&
    !state.abandonedSteps.has(heldStep);
  if (isOwnHold) return planArming(current, reports, target, heldStep);
  return planClearing(current, reports, heldStep);
}
