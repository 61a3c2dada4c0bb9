/**
 * Clears holds and arms that do not belong to this leader's target. What a former leader left is
 * completed if all ranks can be armed alike, and voided if that cannot be determined.
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

/** Whether a rank is not armed and has nothing prepared that any leader could arm. */
function isVoided(report: RankReport, voidingTarget: RolloutTarget): boolean {
  if (report.armed !== undefined) return false;
  return report.preparedVersion === undefined || report.preparedVersion === voidingTarget.version;
}

/**
 * Disarms the armed ranks and prepares a newer version at the others, which voids earlier orders to
 * arm. An order to disarm may be carried out late, after a leader has completed what was armed. So
 * none is sent before a rank is seen with the newer version prepared: from then on, no leader can
 * complete the armed version. A rank that holds the pass is disarmed only after all others are
 * voided, since it may end its hold once it is not armed.
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

/** Also drops the target, which cannot be prepared again: its version is below the voiding one. */
function planVoiding(
  state: RolloutState,
  reports: readonly RankReport[],
  voidingTarget: RolloutTarget,
): RolloutPlan {
  const orders = voidingOrders(reports, state.epoch, voidingTarget);
  return clearingPlan({ ...state, target: undefined, armsSentUnderHold: false }, orders);
}

/** Releases a hold under which nothing is armed, and records that its pass is not used again. */
function planAbandonedStep(
  state: RolloutState,
  reports: readonly RankReport[],
  step: number,
): RolloutPlan {
  const abandonedSteps = new Set([...state.abandonedSteps, step]);
  return clearingPlan({ ...state, abandonedSteps }, releaseOrders(reports, step, state.epoch));
}

/** Handles armed ranks that this leader did not arm under the current hold. */
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
    // Nothing keeps the group from starting the pass, so it is held first. An armed rank holds it,
    // since one that is not armed may end its hold.
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

/** Handles a hold that does not belong to this leader's target, or armed ranks without a hold. */
export function planClearing(
  input: RolloutInput,
  reports: readonly RankReport[],
  heldStep: number | undefined,
): RolloutPlan {
  const { state, voidingTarget } = input;
  // Since this leader saw the group with nothing held or armed, only it can have armed ranks, and
  // it has not armed any for this pass.
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

/** Clears what the former leader left, and does no more, while its rank's report is missing. */
export function planWithoutFormerLeader(
  input: RolloutInput,
  reports: readonly RankReport[],
): RolloutPlan {
  const { state, voidingTarget } = input;
  const heldStep = lowestHeldStep(reports);
  const armed = reports.find((report) => report.armed !== undefined)?.armed;
  const isAllArmed =
    armed !== undefined && reports.every((report) => isArmedFor(report, armed.version, armed.step));
  // With all others armed, the missing rank may be armed too; only its own report can show that.
  if (heldStep === undefined || isAllArmed) {
    return { phase: RolloutPhase.IncompleteReports, orders: [], state };
  }
  if (reports.every((report) => isVoided(report, voidingTarget))) {
    return planAbandonedStep(state, reports, heldStep);
  }
  return planVoiding(state, reports, voidingTarget);
}
