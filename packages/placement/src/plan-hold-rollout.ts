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
import { planClearing, planWithoutFormer } from './plan-clearing.js';
import { RankOrderKind } from './rank-report.js';
import type { RankOrder, RankReport } from './rank-report.js';
import {
  holderOf,
  initialRollout,
  isArmedFor,
  lowestHeldStep,
  planArms,
  release,
  RolloutPhase,
  toAll,
} from './rollout-state.js';
import type { RolloutInput, RolloutPlan, RolloutTarget } from './rollout-state.js';

/**
 * Shortest time from the order to hold until the release arrives, in milliseconds: three rounds
 * of reports and orders of about 30 ms each, and slack. The group must not reach the held pass
 * sooner, or all its streams pause.
 */
const SHORTEST_ROLLOUT_MILLISECONDS = 160;
/** Rounds of reports or of orders from the hold to the release; orders take about as long. */
const ROUNDS = 4;
/** An order that got no answer takes a look and another round of orders. */
const ROUNDS_PER_REPEAT = 2;
const SLACK_MILLISECONDS = 20;
const FEWEST_STEPS_AHEAD = 2;
/** Further ahead the old map would stay in force for long. */
const MOST_STEPS_AHEAD = 12;

/** The pass that runs when a report is read is half over on average. */
const RUNNING_PASS_SHARE = 0.5;

/**
 * Passes between the one that runs and the one that is held. One more than needed costs a whole
 * pass with the old map; one too few, and all streams of the group pause.
 */
function stepsAhead({ passMilliseconds, roundMilliseconds, orderRounds }: RolloutInput): number {
  const repeats = (orderRounds - 1) * ROUNDS_PER_REPEAT * roundMilliseconds;
  const rollout =
    Math.max(SHORTEST_ROLLOUT_MILLISECONDS, ROUNDS * roundMilliseconds + SLACK_MILLISECONDS) +
    repeats;
  const needed = Math.ceil(rollout / Math.max(1, passMilliseconds) + RUNNING_PASS_SHARE);
  return Math.min(MOST_STEPS_AHEAD, Math.max(FEWEST_STEPS_AHEAD, needed));
}

interface View {
  readonly reports: readonly RankReport[];
  /** Every rank is in the view; otherwise only the former leader's is missing. */
  readonly isWhole: boolean;
}

/** Reports of one epoch: of all ranks, or of all but the former leader's. */
function viewOf(input: RolloutInput): View | undefined {
  const seen: RankReport[] = [];
  let isWhole = true;
  for (const [rank, report] of input.reports.entries()) {
    if (report === undefined) {
      if (rank !== input.formerRank || rank === input.ownRank) return undefined;
      isWhole = false;
      continue;
    }
    const first = seen[0] ?? report;
    if (!report.isOpen || report.epoch !== first.epoch) return undefined;
    seen.push(report);
  }
  const size = seen[0]?.size;
  return size !== undefined && input.reports.length === size
    ? { reports: seen, isWhole }
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
    return { phase: RolloutPhase.Releasing, orders: release(reports, step, epoch), state };
  }
  const canArm = reports.every(
    (report) => isArmedFor(report, version, step) || report.preparedVersion === version,
  );
  if (!canArm) {
    if (state.armsSent) return planClearing(input, reports, step);
    const spentSteps = new Set([...state.spentSteps, step]);
    const abandoned = { ...state, target: undefined, heldStep: undefined, spentSteps };
    const orders = release(reports, step, epoch);
    return { phase: RolloutPhase.Clearing, orders, state: abandoned };
  }
  const orders = planArms(input, reports, version, step);
  const armingState = { ...state, armsSent: true, mayHaveArmed: true };
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
  const unprepared = toAll(reports, (report) =>
    report.preparedVersion === version
      ? undefined
      : { kind: RankOrderKind.Prepare, epoch, version, map },
  );
  if (unprepared.length > 0) return { phase: RolloutPhase.Preparing, orders: unprepared, state };
  const ahead = stepsAhead(input);
  let step = ahead;
  for (const report of reports) step = Math.max(step, report.step + ahead);
  while (state.spentSteps.has(step)) step += 1;
  const order: RankOrder = { kind: RankOrderKind.Hold, epoch, step };
  return {
    phase: RolloutPhase.Holding,
    orders: [{ rank: holderOf(input), order }],
    state: { ...state, heldStep: step, armsSent: false },
  };
}

/** Ranks are out of sight: a hold under which nothing was armed must not keep the others. */
function planBlind(input: RolloutInput): RolloutPlan {
  const { state } = input;
  const { heldStep, epoch } = state;
  const phase = RolloutPhase.Blind;
  if (heldStep === undefined || state.armsSent) return { phase, orders: [], state };
  const order: RankOrder = { kind: RankOrderKind.Release, epoch, step: heldStep };
  const spentSteps = new Set([...state.spentSteps, heldStep]);
  return {
    phase,
    orders: [{ rank: holderOf(input), order }],
    state: { ...state, heldStep: undefined, spentSteps },
  };
}

export function planHoldRollout(input: RolloutInput): RolloutPlan {
  const view = viewOf(input);
  if (view === undefined) return planBlind(input);
  const { reports, isWhole } = view;
  const epoch = reports[0]?.epoch ?? 0;
  // Nothing of an earlier epoch is left: the group formed anew with its first map.
  const known = epoch === input.state.epoch ? input.state : initialRollout(epoch);
  if (!isWhole) {
    // What this leader began itself it can judge only with all ranks in sight.
    if (known.target !== undefined || known.mayHaveArmed)
      return planBlind({ ...input, state: known });
    return planWithoutFormer({ ...input, state: known }, reports);
  }
  const heldStep = lowestHeldStep(reports);
  const isAnyArmed = reports.some((report) => report.armed !== undefined);
  const isFree = heldStep === undefined && !isAnyArmed;
  // Where the hold was ended before all ranks were armed, nothing of it is left.
  const state = isFree
    ? { ...known, isSettled: true, mayHaveArmed: false, armsSent: false }
    : known;
  const current = { ...input, state };
  const { target } = state;
  if (isFree && target !== undefined) {
    if (reports.every((report) => report.activeVersion === target.version)) {
      const done = { ...state, target: undefined, heldStep: undefined, armsSent: false };
      return { phase: RolloutPhase.Done, orders: [], state: done };
    }
    return planPreparing(current, reports, target);
  }
  if (isFree) return { phase: RolloutPhase.Idle, orders: [], state };
  const isOwnHold =
    target !== undefined &&
    heldStep !== undefined &&
    heldStep === state.heldStep &&
    reports.some((report) => report.heldStep === heldStep && report.rank === holderOf(input)) &&
    !state.spentSteps.has(heldStep);
  if (isOwnHold) return planArming(current, reports, target, heldStep);
  return planClearing(current, reports, heldStep);
}
