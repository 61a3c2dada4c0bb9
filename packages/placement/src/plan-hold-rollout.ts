/**
 * Decides the next orders that switch all ranks of a group to a new map in the same pass. Pure:
 * fresh reports of all ranks and the state of this leader go in, orders come out.
 *
 * Any order may be lost, or carried out seconds after the leader has given up on it. So decisions
 * do not depend on the sequence of orders or on time, only on what reports show:
 *
 * - A rank is armed only while a hold is seen to keep the group from starting that pass, and only
 *   after the same version was seen prepared at every rank.
 * - A hold is released only when every rank is seen armed with one version for its pass, or when no
 *   rank can be armed any more: no rank was ever sent that order, or a newer version has been
 *   prepared at every rank since, which voids every earlier order to arm.
 * - After a release with nothing armed, that pass is never used again.
 * - A rank that holds the pass is armed before all others and disarmed after them, because it may
 *   end the hold by itself until it is armed (`planHoldEnd`).
 *
 * A leader that takes over may find holds it knows nothing of. It completes what was armed, since
 * its predecessor armed only what every rank had prepared, and voids what it cannot determine.
 *
 * The leader may freeze together with the rank on its machine while the group is held, and every
 * caller would wait for it. So the group is held at another rank, and a leader arms its own rank
 * last: as long as another rank is not armed, the frozen one is not armed either, and the next
 * leader can clear the hold without it.
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
 * Shortest time from the order to hold until the release arrives: three rounds of reports and
 * orders of about 30 ms each, and slack. If the group reaches the held pass sooner, all its streams
 * pause.
 */
const MINIMUM_ROLLOUT_MILLISECONDS = 160;
/** Rounds of reports or orders from the hold to the release; both take about as long. */
const ROUNDS_PER_ROLLOUT = 4;
/** An order without an answer takes another round of reports and another round of orders. */
const ROUNDS_PER_RETRY = 2;
const SLACK_MILLISECONDS = 20;
const MINIMUM_STEPS_AHEAD = 2;
/** With more steps the old map would stay in force too long. */
const MAXIMUM_STEPS_AHEAD = 12;

/** On average, half of the running pass is over when a report is read. */
const RUNNING_PASS_SHARE = 0.5;

/**
 * Number of passes from the running one to the one to hold. One too many costs a whole pass with
 * the old map; with one too few, all streams of the group pause.
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
  /** Whether every rank has reported; otherwise only the former leader's rank is missing. */
  readonly isComplete: boolean;
}

/**
 * The ranks' reports; undefined when the group is broken, the reports are of different epochs, or
 * any is missing other than that of the former leader's rank.
 */
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

/** Under this leader's own hold: arms every rank, then releases the hold. */
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

/** Prepares the target at every rank, then holds a later pass. */
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

/** Releases this leader's hold if nothing was armed under it, so that the group does not wait. */
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

/** Plans the next orders and the state of the leader after they were sent. */
export function planHoldRollout(input: RolloutInput): RolloutPlan {
  const view = groupViewOf(input);
  if (view === undefined) return planWithIncompleteReports(input);
  const { reports, isComplete } = view;
  const epoch = reports[0]?.epoch ?? 0;
  // Nothing of an earlier epoch remains: the group has re-formed with its first map.
  const knownState = epoch === input.state.epoch ? input.state : initialRolloutState(epoch);
  if (!isComplete) {
    // What this leader has started itself can be decided only with the reports of all ranks.
    if (knownState.target !== undefined || knownState.armsSentSinceSettled)
      return planWithIncompleteReports({ ...input, state: knownState });
    return planWithoutFormerLeader({ ...input, state: knownState }, reports);
  }
  const heldStep = lowestHeldStep(reports);
  const isAnyArmed = reports.some((report) => report.armed !== undefined);
  const isGroupFree = heldStep === undefined && !isAnyArmed;
  // If the hold was ended before all ranks were armed, nothing of it remains.
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
