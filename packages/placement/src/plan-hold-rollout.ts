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
 * - after a release that armed nothing, that pass is never used again.
 *
 * A leader that takes over finds holds it knows nothing of. It finishes what was armed, since
 * its predecessor armed only what all had prepared; what it cannot tell it makes void.
 *
 * The leader may freeze with its whole machine, rank and all, while a hold stands, and every
 * caller would wait for it. So holds stand at another rank, and a leader arms its own rank last:
 * as long as another rank is not armed, the frozen one is not either, and its successor can
 * clear the hold without it.
 */
import { RankOrderKind } from './rank-report.js';
import type { ArmedMap, GroupMap, RankOrder, RankReport } from './rank-report.js';

/** A map that is being brought into force. */
export interface RolloutTarget {
  readonly version: number;
  readonly map: GroupMap;
}

export interface RolloutState {
  readonly epoch: number;
  /** Undefined when nothing is to be changed. */
  readonly target: RolloutTarget | undefined;
  /** Pass that this leader asked to hold for its target. */
  readonly heldStep: number | undefined;
  /** Whether an order to arm may have been sent under that hold. */
  readonly armsSent: boolean;
  /** Passes whose hold was released with nothing armed; they are never armed for. */
  readonly spentSteps: ReadonlySet<number>;
  /** Whether this leader has seen the group whole, with no hold and nothing armed. */
  readonly isSettled: boolean;
  /** Whether it sent orders to arm since it last saw the group so. */
  readonly mayHaveArmed: boolean;
}

export interface AddressedOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

export enum RolloutPhase {
  /** Not every rank's state is known, or the group is broken. */
  Blind = 'blind',
  Idle = 'idle',
  Preparing = 'preparing',
  Holding = 'holding',
  Arming = 'arming',
  /** Every rank is armed and the group goes on. */
  Releasing = 'releasing',
  /** A hold of unknown origin is cleared away. */
  Clearing = 'clearing',
  Done = 'done',
}

export interface RolloutPlan {
  readonly phase: RolloutPhase;
  readonly orders: readonly AddressedOrder[];
  readonly state: RolloutState;
}

export interface RolloutInput {
  readonly state: RolloutState;
  /** Fresh reports by rank; undefined where none could be had. */
  readonly reports: readonly (RankReport | undefined)[];
  readonly ownRank: number;
  /**
   * Rank of the leader before this one, if it is known to have seen the group free: it armed
   * its own rank last. One that never did may have found orders of yet another leader.
   */
  readonly formerRank: number | undefined;
  /** How long a pass takes now. */
  readonly passMilliseconds: number;
  /** A version and the map in force, to make earlier orders void with. */
  readonly voiding: RolloutTarget;
}

/**
 * Time from the order to hold until the release arrives, in milliseconds: three rounds of
 * reports and orders of about 30 ms each, and slack. The group must not reach the held pass
 * sooner, or all its streams pause.
 */
const ROLLOUT_MILLISECONDS = 160;
const FEWEST_STEPS_AHEAD = 2;
/** Further ahead the old map would stay in force for long. */
const MOST_STEPS_AHEAD = 8;

/** Passes between the one that runs and the one that is held. */
function stepsAhead(passMilliseconds: number): number {
  const needed = 1 + Math.ceil(ROLLOUT_MILLISECONDS / Math.max(1, passMilliseconds));
  return Math.min(MOST_STEPS_AHEAD, Math.max(FEWEST_STEPS_AHEAD, needed));
}

export function initialRollout(epoch: number): RolloutState {
  return {
    epoch,
    target: undefined,
    heldStep: undefined,
    armsSent: false,
    spentSteps: new Set(),
    isSettled: false,
    mayHaveArmed: false,
  };
}

function toAll(
  reports: readonly RankReport[],
  select: (report: RankReport) => RankOrder | undefined,
): AddressedOrder[] {
  const orders: AddressedOrder[] = [];
  for (const report of reports) {
    const order = select(report);
    if (order !== undefined) orders.push({ rank: report.rank, order });
  }
  return orders;
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

/** The rank that holds the group: another machine's than this leader's, where there is one. */
function holderOf(input: RolloutInput): number {
  return (input.ownRank + 1) % input.reports.length;
}

/** Orders to arm whoever is not armed yet; this leader's own rank only after all others. */
function planArms(
  input: RolloutInput,
  reports: readonly RankReport[],
  version: number,
  step: number,
): AddressedOrder[] {
  const { epoch } = input.state;
  const orders = toAll(reports, (report) =>
    isArmedFor(report, version, step)
      ? undefined
      : { kind: RankOrderKind.Arm, epoch, version, step },
  );
  const others = orders.filter(({ rank }) => rank !== input.ownRank);
  return others.length > 0 ? others : orders;
}

function release(reports: readonly RankReport[], step: number, epoch: number): AddressedOrder[] {
  return toAll(reports, ({ heldStep }) =>
    heldStep === step ? { kind: RankOrderKind.Release, epoch, step } : undefined,
  );
}

function isArmedFor(report: RankReport, version: number, step: number): boolean {
  return report.armed?.version === version && report.armed.step === step;
}

function lowestHeldStep(reports: readonly RankReport[]): number | undefined {
  let lowest: number | undefined;
  for (const { heldStep } of reports) {
    if (heldStep !== undefined && (lowest === undefined || heldStep < lowest)) lowest = heldStep;
  }
  return lowest;
}

/** A rank that cannot be armed with anything but a version that nobody arms. */
function isVoid(report: RankReport, voiding: RolloutTarget): boolean {
  if (report.armed !== undefined) return false;
  return report.preparedVersion === undefined || report.preparedVersion === voiding.version;
}

/**
 * Disarms whoever is armed and prepares a newer version elsewhere: earlier arms are then void.
 * An order to disarm may be carried out late, when somebody has finished what was armed. So
 * none is sent before a rank is seen to hold the newer version: from then on the armed version
 * cannot be finished any more, by any leader.
 */
function planVoiding(
  reports: readonly RankReport[],
  epoch: number,
  voiding: RolloutTarget,
): AddressedOrder[] {
  const isBegun = reports.some(
    (report) => report.armed === undefined && report.preparedVersion === voiding.version,
  );
  return toAll(reports, (report) => {
    if (report.armed !== undefined) {
      return isBegun
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
    // Nothing keeps the group from the pass: hold it before anything else.
    const order: RankOrder = { kind: RankOrderKind.Hold, epoch, step };
    return clearing(state, [{ rank: holderOf(input), order }]);
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
function planClearing(
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
  const ahead = stepsAhead(input.passMilliseconds);
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

/** The former leader's rank is out of sight with its machine: clear what it left, no more. */
function planWithoutFormer(input: RolloutInput, reports: readonly RankReport[]): RolloutPlan {
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
  const state = isFree ? { ...known, isSettled: true, mayHaveArmed: false } : known;
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
    !state.spentSteps.has(heldStep);
  if (isOwnHold) return planArming(current, reports, target, heldStep);
  return planClearing(current, reports, heldStep);
}
