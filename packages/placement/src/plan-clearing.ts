/**
 * Clears away holds and arms that this leader did not ask for its target: what a former leader
 * left is finished where all ranks can be armed alike, and made void where that cannot be told.
 */
import { RankOrderKind } from './rank-report.js';
import type { ArmedMap, RankOrder, RankReport } from './rank-report.js';
import {
  holdingRankOf,
  isArmedFor,
  lowestHeldStep,
  planArmOrders,
  releaseOrders,
  RolloutPhase,
  selectOrders,
} from './rollout-state.js';
import type {
  AddressedOrder,
  RolloutInput,
  RolloutPlan,
  RolloutState,
  RolloutTarget,
} from './rollout-state.js';

/** A rank that cannot be armed with anything but a version that nobody arms. */
function isVoided(report: RankReport, voidingTarget: RolloutTarget): boolean {
  if (report.armed !== undefined) return false;
  return report.preparedVersion === undefined || report.preparedVersion === voidingTarget.version;
}

/**
 * Disarms whoever is armed and prepares a newer version elsewhere: earlier arms are then void.
 * An order to disarm may be carried out late, when somebody has finished what was armed. So
 * none is sent before a rank is seen to hold the newer version: from then on the armed version
 * cannot be finished any more, by any leader. A rank that holds the pass is disarmed after all
 * others are void, since it may end its hold once it is not armed.
 */
function voidingOrders(
  reports: readonly RankReport[],
  epoch: number,
  voidingTarget: RolloutTarget,
): AddressedOrder[] {
  const isAnyRankVoided = reports.some(
    (report) => report.armed === undefined && report.preparedVersion === voidingTarget.version,
  );
  const isArmedHolder = ({ heldStep, armed }: RankReport): boolean =>
    armed !== undefined && heldStep === armed.step;
  const areOtherRanksVoided = reports.every(
    (report) => isArmedHolder(report) || isVoided(report, voidingTarget),
  );
  return selectOrders(reports, (report) => {
    if (report.armed !== undefined) {
      return isAnyRankVoided && (areOtherRanksVoided || !isArmedHolder(report))
        ? { kind: RankOrderKind.Disarm, epoch, version: report.armed.version }
        : undefined;
    }
    if (isVoided(report, voidingTarget) && report.preparedVersion !== undefined) return undefined;
    return {
      kind: RankOrderKind.Prepare,
      epoch,
      version: voidingTarget.version,
      map: voidingTarget.map,
    };
  });
}

function clearingPlan(state: RolloutState, orders: readonly AddressedOrder[]): RolloutPlan {
  return { phase: RolloutPhase.Clearing, orders, state };
}

/** A voided target cannot be prepared again: its version is below the voiding one. */
function planVoiding(
  state: RolloutState,
  reports: readonly RankReport[],
  voidingTarget: RolloutTarget,
): RolloutPlan {
  const orders = voidingOrders(reports, state.epoch, voidingTarget);
  return clearingPlan({ ...state, target: undefined, armsSentUnderHold: false }, orders);
}

/** Releases a hold under which nothing is armed, and never uses its pass again. */
function planAbandonedStep(
  state: RolloutState,
  reports: readonly RankReport[],
  step: number,
): RolloutPlan {
  const abandonedSteps = new Set([...state.abandonedSteps, step]);
  return clearingPlan({ ...state, abandonedSteps }, releaseOrders(reports, step, state.epoch));
}

/** Ranks are armed, and this leader did not arm them under the hold that stands. */
function planArmedClearing(
  input: RolloutInput,
  reports: readonly RankReport[],
  armed: ArmedMap,
  heldStep: number | undefined,
): RolloutPlan {
  const { state, voidingTarget } = input;
  const { epoch } = state;
  const { version, step } = armed;
  const isArmedOrActive = (report: RankReport): boolean =>
    isArmedFor(report, version, step) || report.activeVersion === version;
  if (reports.every(isArmedOrActive)) {
    return clearingPlan(
      state,
      heldStep === undefined ? [] : releaseOrders(reports, heldStep, epoch),
    );
  }
  if (heldStep === undefined) {
    // Nothing keeps the group from the pass: hold it before anything else, at an armed rank, since
    // one that is not armed may end its hold.
    const armedRanks = reports.filter((report) => isArmedFor(report, version, step));
    const holder = armedRanks.find(({ rank }) => rank !== input.ownRank) ?? armedRanks[0];
    const order: RankOrder = { kind: RankOrderKind.Hold, epoch, step };
    return clearingPlan(state, [{ rank: holder?.rank ?? holdingRankOf(input), order }]);
  }
  const canFinish = reports.every(
    (report) => isArmedFor(report, version, step) || report.preparedVersion === version,
  );
  if (!canFinish || heldStep !== step) {
    return planVoiding(state, reports, voidingTarget);
  }
  return clearingPlan(
    { ...state, armsSentSinceSettled: true },
    planArmOrders(input, reports, version, step),
  );
}

/** A hold that this leader did not ask for its target, or arms without one. */
export function planClearing(
  input: RolloutInput,
  reports: readonly RankReport[],
  heldStep: number | undefined,
): RolloutPlan {
  const { state, voidingTarget } = input;
  // Since this leader saw the group free, only it can have armed ranks, and not for this pass.
  if (state.isSettled && heldStep !== undefined && heldStep !== state.heldStep) {
    return planAbandonedStep(state, reports, heldStep);
  }
  const armed = reports.find((report) => report.armed !== undefined)?.armed;
  if (armed !== undefined) return planArmedClearing(input, reports, armed, heldStep);
  if (heldStep === undefined) return clearingPlan(state, []);
  const isAbandonedStep = state.abandonedSteps.has(heldStep);
  if (isAbandonedStep || reports.every((report) => isVoided(report, voidingTarget))) {
    return planAbandonedStep(state, reports, heldStep);
  }
  return planVoiding(state, reports, voidingTarget);
}

/** The former leader's rank is out of sight with its machine: clear what it left, no more. */
export function planWithoutFormerLeader(
  input: RolloutInput,
  reports: readonly RankReport[],
): RolloutPlan {
  const { state, voidingTarget } = input;
  const heldStep = lowestHeldStep(reports);
  const armed = reports.find((report) => report.armed !== undefined)?.armed;
  const isAllArmed =
    armed !== undefined && reports.every((report) => isArmedFor(report, armed.version, armed.step));
  // With all others armed the missing rank may be armed too: only its own report can tell.
  if (heldStep === undefined || isAllArmed) {
    return { phase: RolloutPhase.IncompleteReports, orders: [], state };
  }
  if (reports.every((report) => isVoided(report, voidingTarget))) {
    return planAbandonedStep(state, reports, heldStep);
  }
  return planVoiding(state, reports, voidingTarget);
}
