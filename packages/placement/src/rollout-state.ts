/**
 * State, input and plan of a leader that brings a new map into force, and the orders that the
 * phases of a rollout share.
 */
import { RankOrderKind } from './rank-report.js';
import type { GroupMap, RankOrder, RankReport } from './rank-report.js';

/** A map that is being brought into force. */
export interface RolloutTarget {
  readonly version: number;
  readonly map: GroupMap;
}

export interface RolloutState {
  readonly epoch: number;
  /** Undefined while no map is to be brought into force. */
  readonly target: RolloutTarget | undefined;
  /** Pass that this leader has ordered to be held for its target. */
  readonly heldStep: number | undefined;
  /** Whether an order to arm may have been sent under that hold. */
  readonly armsSentUnderHold: boolean;
  /** Passes whose hold was released while nothing was armed; ranks are never armed for them. */
  readonly abandonedSteps: ReadonlySet<number>;
  /** Whether this leader has seen reports of all ranks, with no hold and nothing armed. */
  readonly isSettled: boolean;
  /** Whether it has sent orders to arm since it last saw the group in that state. */
  readonly armsSentSinceSettled: boolean;
}

export interface AddressedOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

export enum RolloutPhase {
  /** Reports of some ranks are missing, or the group is broken. */
  IncompleteReports = 'blind',
  Idle = 'idle',
  Preparing = 'preparing',
  Holding = 'holding',
  Arming = 'arming',
  /** Every rank is armed, and the hold is released. */
  Releasing = 'releasing',
  /** Holds and arms that this leader did not ask for are cleared. */
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
  /** Fresh reports by rank; undefined where none could be read. */
  readonly reports: readonly (RankReport | undefined)[];
  readonly ownRank: number;
  /**
   * Rank of the leader before this one, if it is known to have seen the group with no hold and
   * nothing armed, so that it armed its own rank last. A leader that never saw this may have found
   * orders of an even earlier leader.
   */
  readonly formerRank: number | undefined;
  /** Current duration of a pass. */
  readonly passMilliseconds: number;
  /** Time taken to read the reports of all ranks, which grows with their number. */
  readonly reportRoundMilliseconds: number;
  /** Attempts after which every rank has most likely received an order; 1 without losses. */
  readonly expectedOrderAttempts: number;
  /** The map in force under a newer version, which voids earlier orders once it is prepared. */
  readonly voidingTarget: RolloutTarget;
}

export function initialRolloutState(epoch: number): RolloutState {
  return {
    epoch,
    target: undefined,
    heldStep: undefined,
    armsSentUnderHold: false,
    abandonedSteps: new Set(),
    isSettled: false,
    armsSentSinceSettled: false,
  };
}

/** Collects the orders that `select` returns for the ranks' reports. */
export function selectOrders(
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

/** The rank to hold the group at: one on another machine than this leader's, if there is one. */
export function holdingRankOf(input: RolloutInput): number {
  return (input.ownRank + 1) % input.reports.length;
}

/**
 * Whether a rank holds the pass and is armed for it, so that it does not end the hold by itself.
 */
function isArmedHolder(report: RankReport, version: number, step: number): boolean {
  return report.heldStep === step && isArmedFor(report, version, step);
}

/**
 * Orders to arm the ranks that are not armed yet: first a rank that holds the pass, because it may
 * end its hold until it is armed, then all others, and this leader's own rank last.
 */
export function planArmOrders(
  input: RolloutInput,
  reports: readonly RankReport[],
  version: number,
  step: number,
): AddressedOrder[] {
  const { epoch } = input.state;
  const orders = selectOrders(reports, (report) =>
    isArmedFor(report, version, step)
      ? undefined
      : { kind: RankOrderKind.Arm, epoch, version, step },
  );
  const others = orders.filter(({ rank }) => rank !== input.ownRank);
  if (!reports.some((report) => isArmedHolder(report, version, step))) {
    const isHolder = ({ rank }: AddressedOrder): boolean =>
      reports.some((report) => report.rank === rank && report.heldStep === step);
    const holders = others.filter(isHolder);
    return holders.length > 0 ? holders : orders.filter(isHolder);
  }
  return others.length > 0 ? others : orders;
}

export function releaseOrders(
  reports: readonly RankReport[],
  step: number,
  epoch: number,
): AddressedOrder[] {
  return selectOrders(reports, ({ heldStep }) =>
    heldStep === step ? { kind: RankOrderKind.Release, epoch, step } : undefined,
  );
}

export function isArmedFor(report: RankReport, version: number, step: number): boolean {
  return report.armed?.version === version && report.armed.step === step;
}

export function lowestHeldStep(reports: readonly RankReport[]): number | undefined {
  let lowest: number | undefined;
  for (const { heldStep } of reports) {
    if (heldStep !== undefined && (lowest === undefined || heldStep < lowest)) lowest = heldStep;
  }
  return lowest;
}

/**
 * The reports after these orders were accepted; undefined when they have to be read again. An order
 * to arm has been carried out when it is answered, while other orders may take effect later.
 */
export function reportsAfterOrders(
  reports: readonly (RankReport | undefined)[],
  accepted: readonly AddressedOrder[],
): readonly (RankReport | undefined)[] | undefined {
  const after = [...reports];
  for (const { rank, order } of accepted) {
    const report = after[rank];
    if (order.kind !== RankOrderKind.Arm || report === undefined) return undefined;
    after[rank] = { ...report, armed: { version: order.version, step: order.step } };
  }
  return accepted.length === 0 ? undefined : after;
}
