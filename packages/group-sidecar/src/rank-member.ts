/**
 * Participation of one rank in its group: reports to entries, sends expert counts towards the
 * group's leader, and leads the group while this sidecar is named in the group's row.
 */
import { createDatagramLink, createSidecarFleet, InstanceRole } from '@lapisbridge/fleet';
import type { RankState, SentCount } from '@lapisbridge/fleet';
import {
  createDemandWindow,
  createMapPlanner,
  createGroupLeader,
  createRankClient,
  createReportRequests,
  initialGroupMap,
  quantizeCountDelta,
  planReportingIntervals,
  dequantizeCountDelta,
} from '@lapisbridge/group-leader';
import type {
  CountDelta,
  GroupProfile,
  Leadership,
  RankAddress,
  RankEngine,
  RankTarget,
} from '@lapisbridge/group-leader';
import type { Logger } from '@lapisbridge/logger';
import type { GroupMap, RankReport } from '@lapisbridge/placement';
import type { ProcessSettings } from '@lapisbridge/process-life';

import { createHoldWatchdog } from './hold-watchdog.js';
import { createRankObserver } from './rank-observer.js';

export interface RankMemberOptions {
  settings(): ProcessSettings;
  readonly backendServer: RankAddress;
  readonly engine: RankEngine;
  readonly leadership: Leadership;
  readonly logger: Logger;
  now(): number;
  /** Uniform in [0, 1). */
  random(): number;
}

export interface RankMember {
  /** Last report of the rank; undefined while its backend server does not answer. */
  report(): RankReport | undefined;
  /** Map of a newly formed group; undefined until the profile of its engines is known. */
  initialGroupMap(): GroupMap | undefined;
  /** Datagrams sent, by kind. */
  sentDatagrams(): ReadonlyMap<string, SentCount>;
  start(): Promise<void>;
  stop(): void;
}

/** Demand windows: the longer one to plan maps from, the shorter one to detect shifts. */
const DEMAND_WINDOW_MILLISECONDS = 900;
const RECENT_DEMAND_WINDOW_MILLISECONDS = 250;

export function createRankMember(options: RankMemberOptions): RankMember {
  const { backendServer, engine, leadership, logger, now, random } = options;
  const { instanceId, host, availabilityZone, peerPort, service } = options.settings();
  const self = { instanceId, host, role: InstanceRole.Sidecar, availabilityZone };
  const demand = createDemandWindow(DEMAND_WINDOW_MILLISECONDS, now);
  const recentDemand = createDemandWindow(RECENT_DEMAND_WINDOW_MILLISECONDS, now);
  let profile: GroupProfile | undefined;
  let reportedFencingNumber: number | undefined;
  let timer: NodeJS.Timeout | undefined;

  const observer = createRankObserver({
    engine,
    backendServer,
    logger,
    now,
    isLeading: () => leadership.fencingNumber() !== undefined,
    // Until entries are informed, they send requests to a broken group, or reject callers of one
    // that has formed again.
    onOpenChanged: () => fleet.reportNow(),
    onCountDelta,
    onReport: (report) => holdWatchdog.onReport(report),
  });

  const holdWatchdog = createHoldWatchdog({
    engine,
    backendServer,
    logger,
    now,
    profile: () => profile,
  });

  const datagramLink = createDatagramLink({
    self,
    port: peerPort,
    logger,
    now,
    onMessage: (from, message) => fleet.receive(from, message),
  });
  const reportRequests = createReportRequests({
    ownHost: host,
    async ownReport() {
      await observer.refresh();
      return observer.report();
    },
    send(asked, question) {
      fleet.requestReport(asked, question);
      return true;
    },
  });

  const fleet = createSidecarFleet({
    self,
    sidecarPort: peerPort,
    seedHosts: () => options.settings().seedHosts,
    state,
    pace: () => planReportingIntervals(observer.report()?.size ?? 0),
    fence: () => leadership.fencingNumber(),
    isSettled: () => groupLeader.isSettled(),
    onProfiles(profiles) {
      profile = (service === undefined ? undefined : profiles[service]) ?? profile;
    },
    onLeader: (fencingNumber, isSettled) => leadership.onLeaderHeartbeat(fencingNumber, isSettled),
    onGrowth(growth) {
      if (observer.report()?.isOpen === true) addCountDelta(dequantizeCountDelta(growth));
    },
    onQuestion: (from, question) => void answerReportQuestion(from.host, question),
    onAnswer: (question, report) => reportRequests.onAnswer(question, report),
    send: (to, message) => datagramLink.send(to, message),
    now,
  });

  const groupLeader = createGroupLeader({
    leadership,
    rankClient: createRankClient({
      engine,
      requestReport: (sidecar) => reportRequests.requestReport(sidecar.host),
      now,
    }),
    mapPlanner: createMapPlanner({ demand, recentDemand, logger, now }),
    logger,
    now,
    ownReport: () => observer.report(),
    targets,
    overviews: () => fleet.ranks(),
    profile: () => profile,
  });

  function state(): RankState | undefined {
    const report = observer.report();
    if (report === undefined) return undefined;
    const { group, rank, epoch, isOpen, running, waiting, memoryTokens } = report;
    const { pace, heldStep, armed } = report;
    return {
      group,
      rank,
      epoch,
      isOpen,
      running,
      waiting,
      memoryTokens,
      pace,
      hasPendingOrder: heldStep !== undefined || armed !== undefined,
      backendServerPort: backendServer.port,
    };
  }

  function targets(): ReadonlyMap<number, RankTarget> {
    const known = new Map(fleet.targets());
    const own = observer.report();
    if (own !== undefined) {
      known.set(own.rank, { sidecar: { host, port: peerPort }, backendServer });
    }
    return known;
  }

  function addCountDelta(delta: CountDelta): void {
    demand.add(delta);
    recentDemand.add(delta);
  }

  /**
   * Count deltas are sent to the leader at once, because streams are late until a shift is handled.
   */
  function onCountDelta(delta: CountDelta): void {
    if (leadership.fencingNumber() === undefined)
      fleet.sendGrowth(quantizeCountDelta(delta, random));
    else if (observer.report()?.isOpen === true) addCountDelta(delta);
  }

  /** Answers a leader's question with a fresh report. */
  async function answerReportQuestion(to: string, question: number): Promise<void> {
    try {
      await observer.refresh();
      const report = observer.report();
      if (report !== undefined) fleet.answerReportRequest(to, question, report);
    } catch (thrown) {
      // Without an answer the leader asks by HTTP next, and learns there that the rank does not
      // answer.
      logger.debug('report question not answered', { reason: String(thrown) });
    }
  }

  function tick(): void {
    const fencingNumber = leadership.fencingNumber();
    // Entries that learn of a new leader send it the addresses of the ranks.
    if (fencingNumber !== undefined && fencingNumber !== reportedFencingNumber) fleet.reportNow();
    reportedFencingNumber = fencingNumber;
    timer = setTimeout(tick, fleet.tick());
  }

  return {
    report: () => observer.report(),
    initialGroupMap() {
      const report = observer.report();
      return profile === undefined || report === undefined
        ? undefined
        : initialGroupMap(profile, report.size);
    },
    sentDatagrams: () => datagramLink.sent(),
    async start() {
      await datagramLink.start();
      observer.start();
      groupLeader.start();
      tick();
    },
    stop() {
      groupLeader.stop();
      clearTimeout(timer);
      datagramLink.stop();
    },
  };
}
