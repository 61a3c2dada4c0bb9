/**
 * Decides whether a stream may be sent to a service whose lock-step groups run under load: it is
 * held while their passes are long, and refused by priority class beyond their concurrency limits.
 * Acts only where the configuration has classes of different urgency, or the service several
 * groups.
 */
import { planAdmittedShare, planClassReturn, planPassHold } from '@lapisbridge/load-shedding';
import type { PriorityClass } from '@lapisbridge/load-shedding';

import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { findStreamLimit } from './find-stream-limit.js';
import { findRecentPass } from './group-pass-meter.js';
import type { GroupLoad } from './group-loads.js';
import { callerPatienceMilliseconds } from './plan-wait.js';

export enum ContentionKind {
  /** The passes of its groups are long; it is checked again soon. */
  LongPasses = 'longPasses',
  /** Its class gives way beyond the concurrency limit. */
  ClassGivesWay = 'classGivesWay',
}

export type Contention =
  | {
      readonly kind: ContentionKind.LongPasses;
      readonly passMilliseconds: number;
      readonly waitMilliseconds: number;
    }
  | {
      readonly kind: ContentionKind.ClassGivesWay;
      readonly priorityClass: PriorityClass;
      /** Streams in the least utilized group, and the most that it may run. */
      readonly streams: number;
      readonly limit: number;
      readonly admittedShare: number;
      /** Milliseconds after which the class is expected to be admitted. */
      readonly returnMilliseconds: number;
    };

interface GroupUse {
  readonly streams: number;
  readonly limit: number;
}

/** The least utilized of the groups; undefined where one has no known limit. */
function findLeastUtilized(
  context: ForwardContext,
  accepted: AcceptedRequest,
  groups: readonly GroupLoad[],
): GroupUse | undefined {
  let least: GroupUse | undefined;
  for (const load of groups) {
    const limit = findStreamLimit(context, accepted, load);
    const { streams } = load;
    if (limit === undefined || streams === undefined) return undefined;
    if (least === undefined || streams / limit < least.streams / least.limit) {
      least = { streams, limit };
    }
  }
  return least;
}

/** Shortest pass of the groups; undefined where one is not known. */
function findShortestPass(
  context: ForwardContext,
  groups: readonly GroupLoad[],
): number | undefined {
  let shortest: number | undefined;
  for (const { group } of groups) {
    const passMilliseconds = findRecentPass(context.groupPasses, group);
    if (passMilliseconds === undefined) return undefined;
    shortest = Math.min(shortest ?? Infinity, passMilliseconds);
  }
  return shortest;
}

function findLongPasses(
  context: ForwardContext,
  { route, isRetry, arrivedAt }: AcceptedRequest,
  groups: readonly GroupLoad[],
): Contention | undefined {
  const passMilliseconds = findShortestPass(context, groups);
  if (passMilliseconds === undefined) return undefined;
  const waitMilliseconds = planPassHold({
    passMilliseconds,
    gapObjectiveMilliseconds: route.eventGapObjectiveMilliseconds,
    latencyObjectiveMilliseconds: route.latencyObjectiveMilliseconds,
    patienceMilliseconds: callerPatienceMilliseconds(route),
    isRetry,
    idleMilliseconds: context.now() - arrivedAt,
  });
  if (waitMilliseconds === 0) return undefined;
  return { kind: ContentionKind.LongPasses, passMilliseconds, waitMilliseconds };
}

/** The account's part of what its class is admitted. */
function shareOfAccount(
  context: ForwardContext,
  { account, service }: AcceptedRequest,
  classShare: number,
): number {
  if (account === undefined || classShare === 1) return classShare;
  return context.accountShares.admissionShare(service, account.name, classShare);
}

function findGivingWay(
  context: ForwardContext,
  accepted: AcceptedRequest,
  groups: readonly GroupLoad[],
): Contention | undefined {
  const { priorityClass } = accepted;
  const leastUtilized = findLeastUtilized(context, accepted, groups);
  if (leastUtilized === undefined) return undefined;
  const classShare = planAdmittedShare({
    priorityClass,
    utilization: leastUtilized.streams / leastUtilized.limit,
    isRetry: accepted.isRetry,
  });
  const admittedShare = shareOfAccount(context, accepted, classShare);
  if (accepted.admissionDraw < admittedShare) return undefined;
  return {
    kind: ContentionKind.ClassGivesWay,
    priorityClass,
    ...leastUtilized,
    admittedShare,
    returnMilliseconds: planClassReturn(priorityClass),
  };
}

/** Returns why the stream is not sent for now; undefined if it may be. */
export function findContention(
  context: ForwardContext,
  accepted: AcceptedRequest,
): Contention | undefined {
  const { service, priorityClass } = accepted;
  const groups = context.groupLoads.listOfService(service);
  if (priorityClass.count === 1 && groups.length <= 1) return undefined;
  const running = groups.filter(({ isBroken }) => !isBroken);
  if (running.length === 0) return undefined;
  return findGivingWay(context, accepted, running) ?? findLongPasses(context, accepted, running);
}
