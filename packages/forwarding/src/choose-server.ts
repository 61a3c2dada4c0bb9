/**
 * Selects the backend server for the next attempt and logs the decision.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import { planGroupedServerChoice, ServerChoiceKind } from '@lapisbridge/routing';
import type { GroupFacts, ServerChoice, ServerView } from '@lapisbridge/routing';

import { findStreamLimit } from './find-stream-limit.js';
import type { AcceptedRequest, ForwardContext, RequestProgress } from './forward-context.js';
import { computeRemainingMilliseconds } from './request-expiry.js';
import { roundedOrNone } from './rounded-or-none.js';
import { othersPerRequest, planTrafficShare } from './traffic-share.js';

/**
 * Prompt reading speed, in tokens per millisecond, of services without a model, which have no
 * prompts.
 */
const READ_SPEED_WITHOUT_MODEL = 1;

interface Candidates {
  readonly views: ServerView[];
  readonly serversById: ReadonlyMap<string, BackendServer>;
  readonly trafficShare: number;
  /** Number of servers that are left out because they are leaving. */
  readonly leaving: number;
}

function collectCandidates(context: ForwardContext, accepted: AcceptedRequest): Candidates {
  const { coldShare } = context;
  const profile = accepted.configuration.services.get(accepted.service);
  const { drainedZones } = context.catalog.operatorState();
  const serversById = context.catalog.servers().servers;
  const views: ServerView[] = [];
  const coldRate = profile?.coldRequestsPerSecond ?? 0;
  const senders = coldShare.senderCount(coldRate);
  const trafficShare = estimateTrafficShare(context, accepted.service, serversById.values());
  // A single request of an entry that sends few says little about the others.
  const unseenPerRequest = Math.min(othersPerRequest(trafficShare), context.entries() - 1);
  let leaving = 0;
  for (const server of serversById.values()) {
    if (server.service !== accepted.service || server.draining) continue;
    if (drainedZones.has(server.availabilityZone)) continue;
    const admission = context.statements.admission(server, senders);
    if (admission.isLeaving) {
      leaving += 1;
      continue;
    }
    const coldCapacityInMilliseconds = coldShare.roomInMilliseconds(
      server.instanceId,
      coldRate,
      trafficShare,
    );
    views.push(
      context.ledger.view(
        server,
        {
          limitedForMilliseconds: Math.max(
            coldCapacityInMilliseconds,
            admission.roomInMilliseconds,
          ),
          backoffMilliseconds: admission.backoffMilliseconds,
          brokenForMilliseconds: context.groupHealth.brokenForMilliseconds(server),
          isSilent: context.liveness.isSilent(server),
        },
        unseenPerRequest,
      ),
    );
  }
  return { views, serversById, trafficShare, leaving };
}

/** Share of the service's requests that this entry sends, by the servers' load reports. */
function estimateTrafficShare(
  context: ForwardContext,
  service: string,
  servers: Iterable<BackendServer>,
): number {
  let reportedRequests = 0;
  let ownRequests = 0;
  for (const server of servers) {
    if (server.service !== service) continue;
    const reported = context.ledger.reportedRequests(server.instanceId);
    if (reported === undefined) continue;
    reportedRequests += reported.all;
    ownRequests += Math.min(reported.own, reported.all);
  }
  return planTrafficShare({ reportedRequests, ownRequests, entries: context.entries() });
}

/** Estimates the requests that other entries have sent since the servers reported their load. */
function estimateUnseenArrivals(
  context: ForwardContext,
  service: string,
  trafficShare: number,
  views: readonly ServerView[],
): number {
  let totalReportAge = 0;
  let reportCount = 0;
  for (const { reportAgeMilliseconds: reportAge } of views) {
    if (reportAge === undefined) continue;
    totalReportAge += reportAge;
    reportCount += 1;
  }
  if (reportCount === 0) return 0;
  const others = context.arrivals.arrivalsPerSecond(service) * othersPerRequest(trafficShare);
  return (others * (totalReportAge / reportCount)) / 1000;
}

/**
 * An event of the group shows that it runs, whatever becomes of the reports of single ranks; covers
 * several passes.
 */
const RUNNING_MILLISECONDS = 400;

function mapGroups(
  views: readonly ServerView[],
  serversById: ReadonlyMap<string, BackendServer>,
): ReadonlyMap<string, string> {
  const groupsByServer = new Map<string, string>();
  for (const { instanceId } of views) {
    const group = serversById.get(instanceId)?.groupRank?.group;
    if (group !== undefined) groupsByServer.set(instanceId, group);
  }
  return groupsByServer;
}

/** Log fields of the chosen server's group, where its service has several. */
function groupFacts(
  context: ForwardContext,
  choice: ServerChoice,
  groupsByServer: ReadonlyMap<string, string>,
): Readonly<Record<string, string | number | undefined>> {
  if (choice.kind !== ServerChoiceKind.Chosen) return {};
  const group = groupsByServer.get(choice.view.instanceId);
  if (group === undefined || new Set(groupsByServer.values()).size < 2) return {};
  return { group, pass: roundedOrNone(context.groupPasses.passMilliseconds(group)) };
}

/** Log fields of the expected output, where the caller states one. */
function workFacts(
  context: ForwardContext,
  { route, request }: AcceptedRequest,
): Readonly<Record<string, number>> {
  if (request.outputHint.expectedTokens === undefined) return {};
  const estimate = context.workEstimator.estimate(route.name, request.outputHint);
  return {
    expectedTokens: Math.round(estimate.outputTokens),
    errorFactor: Number(estimate.errorFactor.toFixed(1)),
  };
}

function describeGroup(
  context: ForwardContext,
  accepted: AcceptedRequest,
  group: string,
  views: readonly ServerView[],
  groupsByServer: ReadonlyMap<string, string>,
): GroupFacts {
  const load = context.groupLoads.find(group);
  const sinceEvent = context.groupPasses.millisecondsSinceEvent(group);
  const hasSilentRank = views.some(
    ({ instanceId, isSilent }) => isSilent && groupsByServer.get(instanceId) === group,
  );
  return {
    passMilliseconds: context.groupPasses.passMilliseconds(group),
    passAgeMilliseconds: context.groupPasses.passAgeMilliseconds(group),
    // All ranks run a pass together, so one that has stopped stops its group.
    isSilent: hasSilentRank && sinceEvent > RUNNING_MILLISECONDS,
    maximumStreams: load === undefined ? undefined : findStreamLimit(context, accepted, load),
  };
}

export interface ChosenServer {
  readonly choice: ServerChoice;
  readonly server: BackendServer | undefined;
}

export function chooseServer(
  context: ForwardContext,
  accepted: AcceptedRequest,
  progress: RequestProgress,
  fits: (view: ServerView) => boolean = () => true,
): ChosenServer {
  const { views, serversById, trafficShare, leaving } = collectCandidates(context, accepted);
  const engine = accepted.configuration.services.get(accepted.service)?.engine;
  const groupsByServer = mapGroups(views, serversById);
  const choice = planGroupedServerChoice({
    groupsByServer,
    gapObjectiveMilliseconds: accepted.route.eventGapObjectiveMilliseconds,
    describeGroup: (group) => describeGroup(context, accepted, group, views, groupsByServer),
    views,
    ownZone: context.ownZone,
    excluded: progress.tried,
    prefillTokensPerMillisecond:
      engine === undefined ? READ_SPEED_WITHOUT_MODEL : engine.prefillTokensPerSecond / 1000,
    unreportedArrivals: estimateUnseenArrivals(context, accepted.service, trafficShare, views),
    canServeInTime: fits,
    random: context.random,
  });
  const chosen = choice.kind === ServerChoiceKind.Chosen;
  const silence = chosen ? context.liveness.silenceMilliseconds(choice.view.instanceId) : undefined;
  context.logger.decision({
    kind: 'routing',
    subject: accepted.requestId,
    choice: chosen ? choice.view.instanceId : choice.kind,
    reason: `attempt ${progress.sends + 1} of ${accepted.route.name}`,
    facts: {
      configurationVersion: accepted.configuration.version,
      serversRevision: context.catalog.servers().revision,
      candidates: views.length,
      leaving: leaving > 0 ? leaving : undefined,
      trafficShare: Number(trafficShare.toFixed(2)),
      ...groupFacts(context, choice, groupsByServer),
      ...workFacts(context, accepted),
      cost: chosen ? Math.round(choice.cost) : undefined,
      outstanding: chosen ? choice.view.outstanding : undefined,
      slots: chosen ? choice.view.slots : undefined,
      remaining: chosen ? computeRemainingMilliseconds(context, accepted) : undefined,
      reportAge: chosen ? roundedOrNone(choice.view.reportAgeMilliseconds) : undefined,
      silence: roundedOrNone(silence),
      suspicion: chosen ? Number(choice.view.decayedFailures.toFixed(2)) : undefined,
      rateLimit: chosen ? context.statements.rateLimitOf(choice.view.instanceId) : undefined,
      backoff:
        choice.kind === ServerChoiceKind.AllBackingOff
          ? Math.round(choice.backoffMilliseconds)
          : undefined,
    },
  });
  return { choice, server: chosen ? serversById.get(choice.view.instanceId) : undefined };
}
