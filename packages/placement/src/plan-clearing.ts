/**
 * Clears away holds and arms that this leader did not ask for its target: what a former leader
 * left is finished where all ranks can be armed alike, and made void where that cannot be told.
 */
import { RankOrderKind } from './rank-report.js';
import type { ArmedMap, RankOrder, RankReport } from './rank-report.js';
import {
  holderOf,
  isArmedFor,
  lowestHeldStep,
  planArms,
  release,
  RolloutPhase,
  toAll,
} from './rollout-state.js';
import type {
  AddressedOrder,
  RolloutInput,
  RolloutPlan,
  RolloutState,
  RolloutTarget,
} from './rollout-state.js';

/** A rank that cannot be armed with anything but a version that nobody arms. */
function isVoid(report: RankReport, voiding: RolloutTarget): boolean {
  if (report.armed !== undefined) return false;
  return report.preparedVersion === undefined || report.preparedVersion === voiding.version;
}

/**
 * Disarms whoever is armed and prepares a newer version elsewhere: earlier arms are then void.
 * An order to disarm may be carried out late, when somebody has finished what was armed. So
 * none is sent before a rank is seen to hold the newer version: from then on the armed version
 * cannot be finished any more, by any leader. A rank that holds the pass is disarmed after all
 * others are void, since it may end its hold once it is not armed.
 */
function planVoiding(
  reports: readonly RankReport[],
  epoch: number,
  voiding: RolloutTarget,
): AddressedOrder[] {
  const isBegun = reports.some(
    (report) => report.armed === undefined && report.preparedVersion === voiding.version,
  );
  const isGuarding = ({ heldStep, armed }: RankReport): boolean =>
    armed !== undefined && heldStep === armed.step;
  const areOthersVoid = reports.every((report) => isGuarding(report) || isVoid(report, voiding));
  return toAll(reports, (report) => {
    if (report.armed !== undefined) {
      return isBegun && (areOthersVoid || !isGuarding(report))
        ? { kind: RankOrderKind.Disarm, epoch, version: report.armed.version }
        : undefined;
    }
    if (isVoid(report, voiding) && report.preparedVersion !== undefined) return undefined;
    return { kind: RankOrderKind.Prepare, epoch, version: voiding.version, map: voiding.map };
  });
}

function clearing(state: RolloutState, orders: readonly AddressedOrder[]): RolloutPlan {
  return { phase: RolloutPhase.Clearing, orders, state };
}

/** A voided target cannot be prepared again: its version is below the voiding one. */
function voidingPlan(
  state: RolloutState,
  reports: readonly RankReport[],
  voiding: RolloutTarget,
): RolloutPlan {
  const orders = planVoiding(reports, state.epoch, voiding);
  return clearing({ ...state, target: undefined, armsSent: false }, orders);
}

/** Releases a hold under which nothing is armed, and never uses its pass again. */
function planSpending(
  state: RolloutState,
  reports: readonly RankReport[],
  step: number,
): RolloutPlan {
  const spentSteps = new Set([...state.spentSteps, step]);
  return clearing({ ...state, spentSteps }, release(reports, step, state.epoch));
}

/** Ranks are armed, and this leader did not arm them under the hold that stands. */
function planArmedClearing(
  input: RolloutInput,
  reports: readonly RankReport[],
  armed: ArmedMap,
  heldStep: number | undefined,
): RolloutPlan {
  const { state, voiding } = input;
  const { epoch } = state;
  const { version, step } = armed;
  const isOnTheWay = (report: RankReport): boolean =>
    isArmedFor(report, version, step) || report.activeVersion === version;
  if (reports.every(isOnTheWay)) {
    return clearing(state, heldStep === undefined ? [] : release(reports, heldStep, epoch));
  }
  if (heldStep === undefined) {
    // Nothing keeps the group from the pass: hold it before anything else, at an armed rank, since
    // one that is not armed may end its hold.
    const armedRanks = reports.filter((report) => isArmedFor(report, version, step));
    const holder = armedRanks.find(({ rank }) => rank !== input.ownRank) ?? armedRanks[0];
    const order: RankOrder = { kind: RankOrderKind.Hold, epoch, step };
    return clearing(state, [{ rank: holder?.rank ?? holderOf(input), order }]);
  }
  const canFinish = reports.every(
    (report) => isArmedFor(report, version, step) || report.preparedVersion === version,
  );
  if (!canFinish || heldStep !== step) {
    return voidingPlan(state, reports, voiding);
  }
  return clearing({ ...state, mayHaveArmed: true }, planArms(input, reports, version, step));
}

/** A hold that this leader did not ask for its target, or arms without one. */
export function planClearing(
  input: RolloutInput,
  reports: readonly RankReport[],
  heldStep: number | undefined,
): RolloutPlan {
  const { state, voiding } = input;
  // Since this leader saw the group free, only it can have armed ranks, and not for this pass.
  if (state.isSettled && heldStep !== undefined && heldStep !== state.heldStep) {
    return planSpending(state, reports, heldStep);
  }
  const armed = reports.find((report) => report.armed !== undefined)?.armed;
  if (armed !== undefined) return planArmedClearing(input, reports, armed, heldStep);
  if (heldStep === undefined) return clearing(state, []);
  const isKnownUnarmed = state.spentSteps.has(heldStep);
  if (isKnownUnarmed || reports.every((report) => isVoid(report, voiding))) {
    return planSpending(state, reports, heldStep);
  }
  return voidingPlan(state, reports, voiding);
}

/** The former leader's rank is out of sight with its machine: clear what it left, no more. */
export function planWithoutFormer(
  input: RolloutInput,
  reports: readonly RankReport[],
): RolloutPlan {
  const { state, voiding } = input;
  const heldStep = lowestHeldStep(reports);
  const armed = reports.find((report) => report.armed !== undefined)?.armed;
  const isAllArmed =
    armed !== undefined && reports.every((report) => isArmedFor(report, armed.version, armed.step));
  // With all others armed the missing rank may be armed too: only its own report can tell.
  if (heldStep === undefined || isAllArmed) {
    return { phase: RolloutPhase.Blind, orders: [], state };
  }
  if (reports.every((report) => isVoid(report, voiding))) {
    return planSpending(state, reports, heldStep);
  }
  return voidingPlan(state, reports, voiding);
}
