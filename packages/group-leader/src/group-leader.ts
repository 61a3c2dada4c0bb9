/**
 * Leads one group while this sidecar holds its row: watches the demand for experts, plans maps
 * and brings them into force. The decisions are pure and stand in `@lapisbridge/placement`;
 * here are the clock, the calls and the log.
 */
import type { Logger } from '@lapisbridge/logger';
import {
  initialRollout,
  leaderVersion,
  OrderOutcome,
  planHoldRollout,
  RankOrderKind,
  reportsAfter,
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
import { createOrderLosses } from './order-losses.js';
import { createOrderPacer } from './order-pacer.js';
import { createPassClock } from './pass-clock.js';
import { planReportingIntervals } from './reporting-intervals.js';
import { settleMost } from './settle-most.js';
import type { RankClient, RankTarget, VersionedMap } from './rank-client.js';

/** What is known of a rank without asking it. */
export interface RankOverview {
  /** How much slower than usual the rank is; 1 when sound. */
  readonly pace: number;
  /** Whether an order to hold or to switch stands at the rank. */
  readonly hasPendingOrder: boolean;
}

export interface GroupLeaderOptions {
  readonly leadership: Leadership;
  readonly link: RankClient;
  readonly mapPlanner: MapPlanner;
  readonly logger: Logger;
  now(): number;
  /** Last report of the backend server beside this sidecar. */
  own(): RankReport | undefined;
  /** Where the ranks of the group are, as far as known. */
  targets(): ReadonlyMap<number, RankTarget>;
  /** What was heard of the ranks, by rank. */
  overview(): ReadonlyMap<number, RankOverview>;
  profile(): GroupProfile | undefined;
}

export interface GroupLeader {
  /** Whether this leader has seen the group free, with no hold and nothing armed. */
  isSettled(): boolean;
  start(): void;
  stop(): void;
}

/** Between two looks while nothing changes, and while a rollout is on its way. */
const IDLE_MILLISECONDS = 60;
/** Between two looks of a large group's rank at whether the leader is silent. */
const FOLLOWING_MILLISECONDS = 200;
const BUSY_MILLISECONDS = 4;
/** Between two looks of a rank that holds its group at whether the leader is silent. */
const HOLDING_MILLISECONDS = 20;
/** A loop this late was frozen; somebody else may lead by now. */
const STOOD_STILL_MILLISECONDS = 700;
/** Reports older than this decide nothing: the slowest answer waited for, and a little. */
const STALE_MILLISECONDS = 800;

/** A held rank must notice soon that its leader is silent: every stream of the group waits for it. */
function followingPause({ heldStep, size }: RankReport): number {
  if (heldStep !== undefined) return HOLDING_MILLISECONDS;
  return planReportingIntervals(size).areCountsRelayed ? FOLLOWING_MILLISECONDS : IDLE_MILLISECONDS;
}

export function createGroupLeader(options: GroupLeaderOptions): GroupLeader {
  const { leadership, link, mapPlanner, logger, now } = options;
  const maps = new Map<number, GroupMap>();
  const passClock = createPassClock(now);
  const orderPacer = createOrderPacer(now);
  const orderLosses = createOrderLosses(now);
  let state: RolloutState = initialRollout(-1);
  let ledFence: number | undefined;
  let versions = 0;
  let voidingVersion = 0;
  let lastObstacle = '';
  let rolloutBegan = 0;
  let lastPhase = RolloutPhase.Idle;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  let lastTickAt = now();

  function nextVersion(fence: number): number {
    versions += 1;
    return leaderVersion(fence, versions);
  }

  function beginLeading(fence: number): void {
    ledFence = fence;
    versions = 0;
    voidingVersion = nextVersion(fence);
    state = initialRollout(-1);
    maps.clear();
    orderPacer.forget();
    // Where it stopped with its machine, every wait for it would keep a held group.
    const silentHost = leadership.silentHost();
    if (silentHost !== undefined) link.markUnreachable(silentHost);
  }

  async function readReports(size: number): Promise<(RankReport | undefined)[]> {
    const targets = options.targets();
    return Promise.all(
      Array.from({ length: size }, async (_, rank) => {
        const target = targets.get(rank);
        return target === undefined ? undefined : link.report(target);
      }),
    );
  }

  /**
   * The map in force, asked of the ranks when an earlier leader made it. A rank that is out of
   * sight is filled in with the experts that nobody else holds: enough to make orders at the
   * others void, and not kept.
   */
  async function activeMap(report: RankReport): Promise<GroupMap | undefined> {
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
        return target === undefined ? undefined : link.map(target);
      }),
    );
    const composed = composeMap(rankMaps, activeVersion, profile);
    if (composed?.isComplete === true) maps.set(activeVersion, composed.map);
    return composed?.map;
  }

  /** Sets a new target when the demand asks for one. */
  async function considerTarget(fence: number, own: RankReport): Promise<void> {
    const profile = options.profile();
    if (profile === undefined || !mapPlanner.isDue()) return;
    const current = await activeMap(own);
    if (current === undefined) return;
    const overview = options.overview();
    const slowdownFactors = Array.from(
      { length: own.size },
      (_, rank) => overview.get(rank)?.pace ?? 1,
    );
    const map = await mapPlanner.plan({ ownReport: own, current, profile, slowdownFactors });
    if (map === undefined) return;
    const version = nextVersion(fence);
    maps.set(version, map);
    rolloutBegan = now();
    state = { ...state, target: { version, map } };
  }

  /** Whether all orders were accepted. */
  async function send(
    fence: number,
    orders: readonly AddressedOrder[],
    base: VersionedMap,
  ): Promise<boolean> {
    const targets = options.targets();
    const given: AddressedOrder[] = [];
    const calls: Promise<OrderOutcome>[] = [];
    for (const addressed of orders) {
      const { rank, order } = addressed;
      const target = targets.get(rank);
      if (target === undefined || !orderPacer.isDue(addressed)) continue;
      given.push(addressed);
      calls.push(link.order(target, { fence, order, base }));
    }
    // Maps take long to send; nothing stands still meanwhile, and sent again they take longer.
    const isUrgent = given.every(({ order }) => order.kind !== RankOrderKind.Prepare);
    const outcomes = isUrgent
      ? await settleMost(calls, OrderOutcome.Unknown)
      : await Promise.all(calls);
    let unanswered = 0;
    let accepted = 0;
    for (const [index, addressed] of given.entries()) {
      const outcome = outcomes[index];
      if (outcome === OrderOutcome.Accepted) accepted += 1;
      if (outcome === OrderOutcome.Fenced) leadership.doubt();
      if (outcome !== OrderOutcome.Unknown) continue;
      unanswered += 1;
      orderPacer.unanswered(addressed);
    }
    orderLosses.note(given.length, unanswered);
    return accepted === orders.length;
  }

  function noteProgress(plan: RolloutPlan): void {
    if (plan.phase === lastPhase) return;
    logger.decision({
      kind: 'rollout',
      subject: `epoch ${plan.state.epoch}`,
      choice: plan.phase,
      reason: `after ${lastPhase}`,
      facts: {
        version: plan.state.target?.version,
        heldStep: plan.state.heldStep,
        milliseconds: Math.round(now() - rolloutBegan),
      },
    });
    lastPhase = plan.phase;
    if (plan.phase === RolloutPhase.Done) orderPacer.forget();
  }

  /** A version higher than the target's at any rank makes the target unreachable. */
  function dropOvertaken(reports: readonly (RankReport | undefined)[]): void {
    const { target } = state;
    if (target === undefined || state.armsSent) return;
    const isOvertaken = reports.some(
      (report) =>
        report !== undefined &&
        Math.max(report.preparedVersion ?? 0, report.activeVersion) > target.version,
    );
    if (isOvertaken) state = { ...state, target: undefined, heldStep: undefined };
  }

  function needsLook(own: RankReport): boolean {
    if (state.target !== undefined || !state.isSettled || own.epoch !== state.epoch) return true;
    for (const { hasPendingOrder } of options.overview().values()) {
      if (hasPendingOrder) return true;
    }
    return own.heldStep !== undefined || own.armed !== undefined;
  }

  /** Tells once what keeps this leader from acting. */
  function noteObstacle(obstacle: string): void {
    if (obstacle === lastObstacle) return;
    lastObstacle = obstacle;
    if (obstacle !== '') logger.info('leader cannot act', { obstacle });
  }

  /** Whether orders were given, whose effect is to be looked for soon. */
  async function look(fence: number, own: RankReport): Promise<boolean> {
    const askedAt = now();
    const askedAtWall = Date.now();
    const reports = await readReports(own.size);
    const roundMilliseconds = now() - askedAt;
    const missing: number[] = [];
    for (const [rank, report] of reports.entries()) if (report === undefined) missing.push(rank);
    dropOvertaken(reports);
    const map = await activeMap(own);
    if (missing.length > 0) noteObstacle(`no report of ranks ${missing.join(', ')}`);
    else noteObstacle(map === undefined ? 'the map in force is not known' : '');
    if (map === undefined) return false;
    // An old clearing version cannot void what was prepared since.
    const isOutrun = reports.some((report) => (report?.preparedVersion ?? 0) > voidingVersion);
    if (isOutrun && (state.target === undefined || state.armsSent)) {
      voidingVersion = nextVersion(fence);
    }
    const input = {
      ownRank: own.rank,
      formerRank: leadership.formerRank(),
      passMilliseconds: passClock.milliseconds(),
      roundMilliseconds,
      orderRounds: orderLosses.rounds(own.size),
      voiding: { version: voidingVersion, map },
    };
    let hasOrders = false;
    let current: readonly (RankReport | undefined)[] | undefined = reports;
    // Another look between arming and release would only lengthen the time in which a stop of this
    // machine leaves the group held.
    while (current !== undefined) {
      const plan: RolloutPlan = planHoldRollout({ ...input, state, reports: current });
      // A process that stood still since it asked may have been replaced: what it would order now
      // could undo its successor's work. Suspended machines show only on the wall clock.
      const age = Math.max(now() - askedAt, Math.abs(Date.now() - askedAtWall));
      if (age > STALE_MILLISECONDS) return false;
      hasOrders = plan.orders.length > 0;
      state = plan.state;
      noteProgress(plan);
      const isAccepted = await send(fence, plan.orders, { version: own.activeVersion, map });
      current = isAccepted ? reportsAfter(current, plan.orders) : undefined;
    }
    return hasOrders;
  }

  async function tick(): Promise<number> {
    const at = now();
    const late = at - lastTickAt;
    lastTickAt = at;
    const own = options.own();
    if (own === undefined) return IDLE_MILLISECONDS;
    passClock.observe(own.step);
    if (late > STOOD_STILL_MILLISECONDS) {
      leadership.doubt();
      state = initialRollout(-1);
    }
    await leadership.tend({
      group: own.group,
      rank: own.rank,
      isHeld: own.heldStep !== undefined,
    });
    const fence = leadership.fence();
    if (fence === undefined) {
      ledFence = undefined;
      return followingPause(own);
    }
    if (fence !== ledFence) beginLeading(fence);
    if (!own.isOpen) return IDLE_MILLISECONDS;
    let hasOrders = false;
    if (needsLook(own)) hasOrders = await look(fence, own);
    else await considerTarget(fence, own);
    return hasOrders || state.target !== undefined ? BUSY_MILLISECONDS : IDLE_MILLISECONDS;
  }

  async function loop(): Promise<void> {
    let pause = IDLE_MILLISECONDS;
    try {
      pause = await tick();
    } catch (thrown) {
      logger.warn('leading failed', { reason: String(thrown) });
    }
    // Time spent waiting for answers is no sign of a frozen process.
    lastTickAt = now() + pause;
    if (!stopped) timer = setTimeout(() => void loop(), pause);
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
