/**
 * One rank's part in its group: hears the other ranks, tells them and the entries what they need
 * to know, and leads the group while this sidecar holds its row.
 */
import {
  createDemand,
  createDemandWatch,
  createGroupLeader,
  createRankLink,
  createReportQuestions,
  decodeProfile,
  decodeSidecarState,
  encodeRankLoad,
  encodeSidecarState,
  firstMap,
  packGrowth,
  planPace,
  unpackGrowth,
} from '@lapisbridge/group-leader';
import type {
  CountGrowth,
  GroupProfile,
  Leadership,
  PackedGrowth,
  RankAddress,
  RankEngine,
  RankTarget,
} from '@lapisbridge/group-leader';
import type { JsonObject } from '@lapisbridge/json-call';
import type { Logger } from '@lapisbridge/logger';
import { createPeers, PeerRole } from '@lapisbridge/peers';
import type { Peer, PeerName } from '@lapisbridge/peers';
import type { GroupMap, RankReport } from '@lapisbridge/placement';
import type { ProcessSettings } from '@lapisbridge/process-life';

import { createKnownRanks } from './known-ranks.js';
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
  start(): Promise<void>;
  stop(): void;
}

/** Between two looks at whom something is to be told. */
const BEAT_MILLISECONDS = 80;
/** Windows of the demand for experts: what maps are planned for, and what shows a shift. */
const DEMAND_MILLISECONDS = 900;
const RECENT_DEMAND_MILLISECONDS = 250;

export function createRankMember(options: RankMemberOptions): RankMember {
  const { backendServer, engine, leadership, logger, now, random } = options;
  const { instanceId, host, availabilityZone, peerPort, service } = options.settings();
  const demand = createDemand(DEMAND_MILLISECONDS, now);
  const recentDemand = createDemand(RECENT_DEMAND_MILLISECONDS, now);
  const knownRanks = createKnownRanks(peerPort, now);
  let profile: GroupProfile | undefined;
  let leader: PeerName | undefined;
  /** Growth that no leader was told yet. */
  let untold: PackedGrowth | undefined;

  const observer = createRankObserver({
    engine,
    backendServer,
    logger,
    now,
    onOpenChanged() {
      // Entries keep streams for the group, or send to it in vain, until they hear.
      for (const { name } of peers.live(PeerRole.Entry)) peers.tell(name);
    },
    onGrowth,
  });

  const questions = createReportQuestions((asked, question) => {
    const peer = peers.live(PeerRole.Sidecar).find(({ name }) => name.host === asked);
    if (peer !== undefined) peers.tell(peer.name, { question });
    return peer !== undefined;
  });

  const groupLeader = createGroupLeader({
    leadership,
    link: createRankLink({ engine, ask: (sidecar) => questions.ask(sidecar.host), now }),
    demandWatch: createDemandWatch({ demand, recentDemand, logger, now }),
    logger,
    now,
    own: () => observer.report(),
    targets,
    heard: () => knownRanks.reports(),
    profile: () => profile,
  });

  const peers = createPeers({
    self: { instanceId, host, role: PeerRole.Sidecar, availabilityZone },
    port: peerPort,
    logger,
    hosts: () => options.settings().seedHosts,
    describe,
    onMessage: takeMessage,
    now,
    random,
    beatMilliseconds: BEAT_MILLISECONDS,
    pauseTo,
  });

  function targets(): ReadonlyMap<number, RankTarget> {
    const known = new Map(knownRanks.targets());
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
    if (leadership.fence() !== undefined) {
      if (observer.report()?.isOpen === true) addGrowth(growth);
      return;
    }
    if (leader === undefined) return;
    untold = packGrowth(growth, random);
    peers.tell(leader);
  }

  function takeMessage({ name, state }: Peer): void {
    if (name.role === PeerRole.Entry) {
      profile = (service === undefined ? undefined : decodeProfile(state, service)) ?? profile;
      return;
    }
    takeSidecarState(name, state);
  }

  function takeSidecarState(from: PeerName, described: JsonObject): void {
    const state = decodeSidecarState(described);
    if (state === undefined || state.report.group !== observer.report()?.group) return;
    knownRanks.heard(from.host, state);
    if (state.fence !== undefined) {
      leadership.heard(state.fence, state.isSettled);
      leader = from;
    }
    if (state.answerTo !== undefined) questions.answered(state.answerTo, state.report);
    if (state.question !== undefined) void answer(from, state.question);
    if (state.growth !== undefined && state.report.isOpen) addGrowth(unpackGrowth(state.growth));
  }

  /** Reads a fresh report for the leader that asks. */
  async function answer(to: PeerName, question: number): Promise<void> {
    try {
      await observer.refresh();
      peers.tell(to, { answerTo: question });
    } catch (thrown) {
      // The leader asks by HTTP next, and is told there that the rank does not answer.
      logger.debug('no report to answer with', { reason: String(thrown) });
    }
  }

  function describe(to: PeerName | undefined): JsonObject {
    const report = observer.report();
    if (report === undefined) return {};
    if (to?.role === PeerRole.Entry) return encodeRankLoad(report, backendServer);
    const isLeader = to !== undefined && to.instanceId === leader?.instanceId;
    const growth = isLeader ? untold : undefined;
    if (isLeader) untold = undefined;
    return encodeSidecarState({
      report,
      backendServer,
      fence: leadership.fence(),
      isSettled: groupLeader.isSettled(),
      growth,
    });
  }

  function pauseTo(to: PeerName): number {
    const pace = planPace(observer.report()?.size ?? 0);
    const isNeeded =
      to.role === PeerRole.Entry ||
      to.instanceId === leader?.instanceId ||
      leadership.fence() !== undefined;
    return isNeeded ? pace.beat : pace.acquaintance;
  }

  return {
    report: () => observer.report(),
    firstMap() {
      const report = observer.report();
      return profile === undefined || report === undefined
        ? undefined
        : firstMap(profile, report.size);
    },
    async start() {
      await peers.start();
      observer.start();
      groupLeader.start();
    },
    stop() {
      groupLeader.stop();
      peers.stop();
    },
  };
}
