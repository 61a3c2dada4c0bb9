/**
 * One rank's part in its group: reports to entries, sends what its requests chose towards the
 * group's leader, and leads the group while this sidecar holds its row.
 */
import { createDatagramLink, createSidecarFleet, InstanceRole } from '@lapisbridge/fleet';
import type { RankState, SentCount } from '@lapisbridge/fleet';
import {
  createDemand,
  createDemandWatch,
  createGroupLeader,
  createRankLink,
  createReportQuestions,
  firstMap,
  packGrowth,
  planPace,
  unpackGrowth,
} from '@lapisbridge/group-leader';
import type {
  CountGrowth,
  GroupProfile,
  Leadership,
  RankAddress,
  RankEngine,
  RankTarget,
} from '@lapisbridge/group-leader';
import type { Logger } from '@lapisbridge/logger';
import type { GroupMap, RankReport } from '@lapisbridge/placement';
import type { ProcessSettings } from '@lapisbridge/process-life';

import { createHoldWatch } from './hold-watch.js';
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
  /** The map of a group that has just formed; undefined until its engines' limits are known. */
  firstMap(): GroupMap | undefined;
  /** Datagrams sent, by kind. */
  sent(): ReadonlyMap<string, SentCount>;
  start(): Promise<void>;
  stop(): void;
}

/** Windows of the demand for experts: what maps are planned for, and what shows a shift. */
const DEMAND_MILLISECONDS = 900;
const RECENT_DEMAND_MILLISECONDS = 250;

export function createRankMember(options: RankMemberOptions): RankMember {
  const { backendServer, engine, leadership, logger, now, random } = options;
  const { instanceId, host, availabilityZone, peerPort, service } = options.settings();
  const self = { instanceId, host, role: InstanceRole.Sidecar, availabilityZone };
  const demand = createDemand(DEMAND_MILLISECONDS, now);
  const recentDemand = createDemand(RECENT_DEMAND_MILLISECONDS, now);
  let profile: GroupProfile | undefined;
  let reportedFence: number | undefined;
  let timer: NodeJS.Timeout | undefined;

  const observer = createRankObserver({
    engine,
    backendServer,
    logger,
    now,
    isLeading: () => leadership.fence() !== undefined,
    // Entries send to a lost group, or reject callers of one that is back, until they hear.
    onOpenChanged: () => fleet.reportNow(),
    onGrowth,
    onReport: (report) => holdWatch.onReport(report),
  });

  const holdWatch = createHoldWatch({
    engine,
    backendServer,
    logger,
    now,
    profile: () => profile,
  });

  const link = createDatagramLink({
    self,
    port: peerPort,
    logger,
    now,
    onMessage: (from, message) => fleet.receive(from, message),
  });
  const questions = createReportQuestions({
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
    pace: () => planPace(observer.report()?.size ?? 0),
    fence: () => leadership.fence(),
    isSettled: () => groupLeader.isSettled(),
    onProfiles(profiles) {
      profile = (service === undefined ? undefined : profiles[service]) ?? profile;
    },
    onLeader: (fence, isSettled) => leadership.heard(fence, isSettled),
    onGrowth(growth) {
      if (observer.report()?.isOpen === true) addGrowth(unpackGrowth(growth));
    },
    onQuestion: (from, question) => void answer(from.host, question),
    onAnswer: (question, report) => questions.answered(question, report),
    send: (to, message) => link.send(to, message),
    now,
  });

  const groupLeader = createGroupLeader({
    leadership,
    link: createRankLink({ engine, ask: (sidecar) => questions.ask(sidecar.host), now }),
    demandWatch: createDemandWatch({ demand, recentDemand, logger, now }),
    logger,
    now,
    own: () => observer.report(),
    targets,
    overview: () => fleet.ranks(),
    profile: () => profile,
  });

  function state(): RankState | undefined {
    const report = observer.report();
    if (report === undefined) return undefined;
    const { group, rank, epoch, isOpen, running, waiting, pace, heldStep, armed } = report;
    return {
      group,
      rank,
      epoch,
      isOpen,
      running,
      waiting,
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

  function addGrowth(growth: CountGrowth): void {
    demand.add(growth);
    recentDemand.add(growth);
  }

  /** What was chosen since the last look goes to the leader at once: a shift makes streams late. */
  function onGrowth(growth: CountGrowth): void {
    if (leadership.fence() === undefined) fleet.sendGrowth(packGrowth(growth, random));
    else if (observer.report()?.isOpen === true) addGrowth(growth);
  }

  /** Reads a fresh report for the leader that asks. */
  async function answer(to: string, question: number): Promise<void> {
    try {
      await observer.refresh();
      const report = observer.report();
      if (report !== undefined) fleet.answerReportRequest(to, question, report);
    } catch (thrown) {
      // The leader asks by HTTP next, and is told there that the rank does not answer.
      logger.debug('no report to answer with', { reason: String(thrown) });
    }
  }

  function tick(): void {
    const fence = leadership.fence();
    // A new leader is told where the ranks are by the entries that hear of it.
    if (fence !== undefined && fence !== reportedFence) fleet.reportNow();
    reportedFence = fence;
    timer = setTimeout(tick, fleet.tick());
  }

  return {
    report: () => observer.report(),
    firstMap() {
      const report = observer.report();
      return profile === undefined || report === undefined
        ? undefined
        : firstMap(profile, report.size);
    },
    sent: () => link.sent(),
    async start() {
      await link.start();
      observer.start();
      groupLeader.start();
      tick();
    },
    stop() {
      groupLeader.stop();
      clearTimeout(timer);
      link.stop();
    },
  };
}
