/**
 * What a leader knows and sends while it brings a map into force, and the orders that the steps
 * of a rollout share.
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
  /** Undefined when nothing is to be changed. */
  readonly target: RolloutTarget | undefined;
  /** Pass that this leader asked to hold for its target. */
  readonly heldStep: number | undefined;
  /** Whether an order to arm may have been sent under that hold. */
  readonly armsSentUnderHold: boolean;
  /** Passes whose hold was released with nothing armed; they are never armed for. */
  readonly abandonedSteps: ReadonlySet<number>;
  /** Whether this leader has seen the group whole, with no hold and nothing armed. */
  readonly isSettled: boolean;
  /** Whether it sent orders to arm since it last saw the group so. */
  readonly armsSentSinceSettled: boolean;
}

export interface AddressedOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

export enum RolloutPhase {
  /** Not every rank's state is known, or the group is broken. */
  IncompleteReports = 'blind',
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
  /** How long it took to read all ranks' reports: more ranks take a leader longer. */
  readonly reportRoundMilliseconds: number;
  /** Times that an order goes out until most likely every rank has taken it; 1 without losses. */
  readonly expectedOrderAttempts: number;
  /** A version and the map in force, to make earlier orders void with. */
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

/** The rank that holds the group: another machine's than this leader's, where there is one. */
export function holdingRankOf(input: RolloutInput): number {
  return (input.ownRank + 1) % input.reports.length;
}

/** A rank that holds the pass and is armed for it: it does not end its hold by itself. */
function isArmedHolder(report: RankReport, version: number, step: number): boolean {
  return report.heldStep === step && isArmedFor(report, version, step);
}

/**
 * Orders to arm whoever is not armed yet: first a rank that holds the pass, which may end its hold
 * until it is armed, then all others, and this leader's own rank last.
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
 * Reports as they are after these orders were accepted. Undefined where reports have to be read
 * anew: an order to arm is carried out when it is answered, others may take effect later.
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
