/**
 * Leads one group while this sidecar is named in its row: watches the demand for experts, plans
 * maps and rolls them out. The decisions are pure functions of `@lapisbridge/placement`; this
 * module adds timing, calls and logging.
 */
import type { Logger } from '@lapisbridge/logger';
import {
  initialRolloutState,
  leaderVersion,
  OrderOutcome,
  planHoldRollout,
  RankOrderKind,
  reportsAfterOrders,
  RolloutPhase,
} from '@lapisbridge/placement';
import type {
  AddressedOrder,
  GroupMap,
  RankReport,
  RolloutPlan,
  RolloutState,
} from '@lapisbridge/placement';

import type { MapPlanner, GroupProfile } from './map-planner.js';
import type { Leadership } from './leadership.js';
import { composeMap } from './compose-map.js';
import { initialGroupMap } from './initial-group-map.js';
import { createLossEstimator } from './order-losses.js';
import { createOrderThrottle } from './order-throttle.js';
import { createPassDurationEstimator } from './pass-duration.js';
import { planReportingIntervals } from './plan-pace.js';
import { settleWithoutStragglers } from './settle-without-stragglers.js';
import type { RankClient, RankTarget, VersionedMap } from './rank-client.js';

/** Last known state of a rank, available without a call to it. */
export interface RankOverview {
  /** Time that a pass takes at the rank relative to the usual; 1 for a healthy rank. */
  readonly pace: number;
  /** Whether a hold or an armed map switch is pending at the rank. */
  readonly hasPendingOrder: boolean;
}

export interface GroupLeaderOptions {
  readonly leadership: Leadership;
  readonly rankClient: RankClient;
  readonly mapPlanner: MapPlanner;
  readonly logger: Logger;
  now(): number;
  /** Last report of the backend server beside this sidecar. */
  ownReport(): RankReport | undefined;
  /** Addresses of the group's ranks, as far as known. */
  targets(): ReadonlyMap<number, RankTarget>;
  /** Last known state of each rank. */
  overviews(): ReadonlyMap<number, RankOverview>;
  profile(): GroupProfile | undefined;
}

export interface GroupLeader {
  /** Whether this leader has seen the group without a hold and with no rank armed. */
  isSettled(): boolean;
  start(): void;
  stop(): void;
}

/** Loop interval while no rollout is in progress. */
const IDLE_INTERVAL_MILLISECONDS = 60;
/** Loop interval of followers in a large group, which check whether the leader is silent. */
const LARGE_GROUP_FOLLOWER_INTERVAL_MILLISECONDS = 200;
const ROLLOUT_INTERVAL_MILLISECONDS = 4;
/** Loop interval of a follower whose rank holds the group. */
const HELD_FOLLOWER_INTERVAL_MILLISECONDS = 20;
/** A loop that runs this late was suspended, and another leader may have been elected meanwhile. */
const STALL_THRESHOLD_MILLISECONDS = 700;
/** Time for which the reports read in a rollout are newer than the overviews of the ranks. */
const ROLLOUT_REPORT_LIFETIME_MILLISECONDS = 500;
/** Reports older than this are not acted on: the longest wait for an answer, and a margin. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 800;

/**
 * A held rank has to detect a silent leader quickly, because every stream of the group waits for
 * it.
 */
function followerInterval({ heldStep, size }: RankReport): number {
  if (heldStep !== undefined) return HELD_FOLLOWER_INTERVAL_MILLISECONDS;
  return planReportingIntervals(size).areCountsRelayed
    ? LARGE_GROUP_FOLLOWER_INTERVAL_MILLISECONDS
    : IDLE_INTERVAL_MILLISECONDS;
}

export function createGroupLeader(options: GroupLeaderOptions): GroupLeader {
  const { leadership, rankClient, mapPlanner, logger, now } = options;
  const maps = new Map<number, GroupMap>();
  const passDuration = createPassDurationEstimator(now);
  const orderThrottle = createOrderThrottle(now);
  const orderLosses = createLossEstimator(now);
  /** Paces by rank, as read in the last rollout. */
  const rolloutPaces = new Map<number, number>();
  let reportsReadAt = -Infinity;
  let state: RolloutState = initialRolloutState(-1);
  let termFencingNumber: number | undefined;
  let issuedVersions = 0;
  let voidingVersion = 0;
  let lastObstacle = '';
  let rolloutStartedAt = 0;
  let lastPhase = RolloutPhase.Idle;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  let lastTickAt = now();

  function nextVersion(fencingNumber: number): number {
    issuedVersions += 1;
    return leaderVersion(fencingNumber, issuedVersions);
  }

  function beginTerm(fencingNumber: number): void {
    termFencingNumber = fencingNumber;
    issuedVersions = 0;
    voidingVersion = nextVersion(fencingNumber);
    state = initialRolloutState(-1);
    maps.clear();
    orderThrottle.reset();
    // If the previous leader stopped together with its machine, each wait for its rank would keep
    // the group held.
    const silentHost = leadership.unresponsiveLeaderHost();
    if (silentHost !== undefined) rankClient.markUnreachable(silentHost);
  }

  async function readReports(size: number): Promise<(RankReport | undefined)[]> {
    const targets = options.targets();
    return Promise.all(
      Array.from({ length: size }, async (_, rank) => {
        const target = targets.get(rank);
        return target === undefined ? undefined : rankClient.report(target);
      }),
    );
  }

  /**
   * The active map, read from the ranks when an earlier leader created it. A missing rank is filled
   * in with the experts that no other rank holds. Such a map suffices to void orders at the other
   * ranks, and is not cached.
   */
  async function findActiveMap(report: RankReport): Promise<GroupMap | undefined> {
    const { activeVersion, size } = report;
    const profile = options.profile();
    if (profile === undefined) return undefined;
    if (activeVersion === 0) return initialGroupMap(profile, size);
    const known = maps.get(activeVersion);
    if (known !== undefined) return known;
    const targets = options.targets();
    const rankMaps = await Promise.all(
      Array.from({ length: size }, async (_, rank) => {
        const target = targets.get(rank);
        return target === undefined ? undefined : rankClient.map(target);
      }),
    );
    const composed = composeMap(rankMaps, activeVersion, profile);
    if (composed?.isComplete === true) maps.set(activeVersion, composed.map);
    return composed?.map;
  }

  function recordPaces(reports: readonly (RankReport | undefined)[]): void {
    reportsReadAt = now();
    for (const [rank, report] of reports.entries()) {
      if (report !== undefined) rolloutPaces.set(rank, report.pace);
    }
  }

  /** Sets a new rollout target when the demand requires one. */
  async function planTarget(fencingNumber: number, ownReport: RankReport): Promise<void> {
    const profile = options.profile();
    if (profile === undefined || !mapPlanner.isDue()) return;
    if (now() - reportsReadAt > ROLLOUT_REPORT_LIFETIME_MILLISECONDS) rolloutPaces.clear();
    const current = await findActiveMap(ownReport);
    if (current === undefined) return;
    const overviews = options.overviews();
    const slowdownFactors = Array.from(
      { length: ownReport.size },
      (_, rank) => rolloutPaces.get(rank) ?? overviews.get(rank)?.pace ?? 1,
    );
    const map = await mapPlanner.plan({ ownReport, current, profile, slowdownFactors });
    if (map === undefined) return;
    const version = nextVersion(fencingNumber);
    maps.set(version, map);
    rolloutStartedAt = now();
    state = { ...state, target: { version, map } };
  }

  /** Sends the orders that are due. Returns whether all orders were accepted. */
  async function sendOrders(
    fencingNumber: number,
    orders: readonly AddressedOrder[],
    base: VersionedMap,
  ): Promise<boolean> {
    const targets = options.targets();
    const sent: AddressedOrder[] = [];
    const calls: Promise<OrderOutcome>[] = [];
    for (const addressed of orders) {
      const { rank, order } = addressed;
      const target = targets.get(rank);
      if (target === undefined || !orderThrottle.tryAcquire(addressed)) continue;
      sent.push(addressed);
      calls.push(rankClient.order(target, { fencingNumber, order, base }));
    }
    // Maps take long to send. The group is not held meanwhile, and sending them again would take
    // even longer.
    const isUrgent = sent.every(({ order }) => order.kind !== RankOrderKind.Prepare);
    const outcomes = isUrgent
      ? await settleWithoutStragglers(calls, OrderOutcome.Unknown)
      : await Promise.all(calls);
    let unanswered = 0;
    let accepted = 0;
    for (const [index, addressed] of sent.entries()) {
      const outcome = outcomes[index];
      if (outcome === OrderOutcome.Accepted) accepted += 1;
      if (outcome === OrderOutcome.Fenced) leadership.requireVerification();
      if (outcome !== OrderOutcome.Unknown) continue;
      unanswered += 1;
      orderThrottle.markUnanswered(addressed);
    }
    orderLosses.record(sent.length, unanswered);
    return accepted === orders.length;
  }

  function logPhaseChange(plan: RolloutPlan): void {
    if (plan.phase === lastPhase) return;
    logger.decision({
      kind: 'rollout',
      subject: `epoch ${plan.state.epoch}`,
      choice: plan.phase,
      reason: `previous phase: ${lastPhase}`,
      facts: {
        version: plan.state.target?.version,
        heldStep: plan.state.heldStep,
        milliseconds: Math.round(now() - rolloutStartedAt),
      },
    });
    lastPhase = plan.phase;
    if (plan.phase === RolloutPhase.Done) orderThrottle.reset();
  }

  /**
   * Drops the target when a rank has a higher version, since ranks accept only increasing versions.
   */
  function dropSupersededTarget(reports: readonly (RankReport | undefined)[]): void {
    const { target } = state;
    if (target === undefined || state.armsSentUnderHold) return;
    const isSuperseded = reports.some(
      (report) =>
        report !== undefined &&
        Math.max(report.preparedVersion ?? 0, report.activeVersion) > target.version,
    );
    if (isSuperseded) state = { ...state, target: undefined, heldStep: undefined };
  }

  function needsRolloutStep(ownReport: RankReport): boolean {
    if (state.target !== undefined || !state.isSettled || ownReport.epoch !== state.epoch)
      return true;
    if (ownReport.heldStep !== undefined || ownReport.armed !== undefined) return true;
    // Overviews still show the orders of the rollout that has just ended.
    if (now() - reportsReadAt <= ROLLOUT_REPORT_LIFETIME_MILLISECONDS) return false;
    for (const { hasPendingOrder } of options.overviews().values()) {
      if (hasPendingOrder) return true;
    }
    return false;
  }

  /** Logs each change of what keeps this leader from acting. */
  function logObstacle(obstacle: string): void {
    if (obstacle === lastObstacle) return;
    lastObstacle = obstacle;
    if (obstacle !== '') logger.info('group leader is blocked', { obstacle });
  }

  /**
   * Reads all reports and carries out the next steps of the rollout. Returns whether orders were
   * sent, whose effect should be checked soon.
   */
  async function advanceRollout(fencingNumber: number, ownReport: RankReport): Promise<boolean> {
    const requestedAt = now();
    const requestedAtWallClock = Date.now();
    const reports = await readReports(ownReport.size);
    recordPaces(reports);
    const roundMilliseconds = now() - requestedAt;
    const missing: number[] = [];
    for (const [rank, report] of reports.entries()) if (report === undefined) missing.push(rank);
    dropSupersededTarget(reports);
    const map = await findActiveMap(ownReport);
    if (missing.length > 0) logObstacle(`no report from ranks ${missing.join(', ')}`);
    else logObstacle(map === undefined ? 'the active map is unknown' : '');
    if (map === undefined) return false;
    // A voiding version lower than a version that was prepared since cannot replace it.
    const isOutdated = reports.some((report) => (report?.preparedVersion ?? 0) > voidingVersion);
    if (isOutdated && (state.target === undefined || state.armsSentUnderHold)) {
      voidingVersion = nextVersion(fencingNumber);
    }
    const input = {
      ownRank: ownReport.rank,
      formerRank: leadership.previousLeaderRank(),
      passMilliseconds: passDuration.averageMilliseconds(),
      reportRoundMilliseconds: roundMilliseconds,
      expectedOrderAttempts: orderLosses.expectedRounds(ownReport.size),
      voidingTarget: { version: voidingVersion, map },
    };
    let hasOrders = false;
    let current: readonly (RankReport | undefined)[] | undefined = reports;
    // Accepted orders are assumed to be in effect: reading the reports again between arm and
    // release would only lengthen the time in which a failure of this machine leaves the group
    // held.
    while (current !== undefined) {
      const plan: RolloutPlan = planHoldRollout({ ...input, state, reports: current });
      // If this process was suspended since it requested the reports, another leader may have
      // replaced it, and its orders could undo that leader's work. Suspension of the whole machine
      // shows only on the wall clock.
      const ageMilliseconds = Math.max(
        now() - requestedAt,
        Math.abs(Date.now() - requestedAtWallClock),
      );
      if (ageMilliseconds > MAXIMUM_REPORT_AGE_MILLISECONDS) return false;
      hasOrders = plan.orders.length > 0;
      state = plan.state;
      logPhaseChange(plan);
      const isAccepted = await sendOrders(fencingNumber, plan.orders, {
        version: ownReport.activeVersion,
        map,
      });
      current = isAccepted ? reportsAfterOrders(current, plan.orders) : undefined;
    }
    return hasOrders;
  }

  async function tick(): Promise<number> {
    const at = now();
    const delayMilliseconds = at - lastTickAt;
    lastTickAt = at;
    const ownReport = options.ownReport();
    if (ownReport === undefined) return IDLE_INTERVAL_MILLISECONDS;
    passDuration.observe(ownReport.step);
    if (delayMilliseconds > STALL_THRESHOLD_MILLISECONDS) {
      leadership.requireVerification();
      state = initialRolloutState(-1);
    }
    await leadership.claimOrVerify({
      group: ownReport.group,
      rank: ownReport.rank,
      isHeld: ownReport.heldStep !== undefined,
    });
    const fencingNumber = leadership.fencingNumber();
    if (fencingNumber === undefined) {
      termFencingNumber = undefined;
      return followerInterval(ownReport);
    }
    if (fencingNumber !== termFencingNumber) beginTerm(fencingNumber);
    if (!ownReport.isOpen) return IDLE_INTERVAL_MILLISECONDS;
    let hasOrders = false;
    if (needsRolloutStep(ownReport)) hasOrders = await advanceRollout(fencingNumber, ownReport);
    else await planTarget(fencingNumber, ownReport);
    return hasOrders || state.target !== undefined
      ? ROLLOUT_INTERVAL_MILLISECONDS
      : IDLE_INTERVAL_MILLISECONDS;
  }

  async function loop(): Promise<void> {
    let pauseMilliseconds = IDLE_INTERVAL_MILLISECONDS;
    try {
      pauseMilliseconds = await tick();
    } catch (thrown) {
      logger.warn('group leader iteration failed', { reason: String(thrown) });
    }
    // Waiting for answers must not count as a suspended process.
    lastTickAt = now() + pauseMilliseconds;
    if (!stopped) timer = setTimeout(() => void loop(), pauseMilliseconds);
  }

  return {
    isSettled: () => state.isSettled,
    start() {
      void loop();
    },
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
