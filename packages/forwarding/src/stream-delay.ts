/**
 * Determines why a stream cannot be sent to a server at the moment, and how long it is held.
 */
import { sleep } from '@lapisbridge/kernel';
import { ServerChoiceKind } from '@lapisbridge/routing';
import type { ServerChoice } from '@lapisbridge/routing';

import { ContentionKind } from './admit-stream.js';
import type { Contention } from './admit-stream.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { computeRemainingMilliseconds, computeSendWindow } from './request-expiry.js';
import { planRecheckDelay } from './plan-queue-admission.js';
import { RefusalCause } from './plan-retry-after.js';
import { planRoomWait, planGroupWait } from './plan-wait.js';

export enum DelayKind {
  /** The lock-step groups of all servers are down. */
  GroupBroken = 'groupBroken',
  /** Every slot is taken, and a queued stream would begin too late. */
  Crowded = 'crowded',
  /** The service is short of capacity. */
  Contended = 'contended',
  /** This entry's share of the limits of every server is used up for now. */
  Limited = 'limited',
  /** Every server has asked for a backoff. */
  BackingOff = 'backingOff',
}

export type StreamDelay =
  | {
      readonly kind: DelayKind.GroupBroken;
      readonly brokenForMilliseconds: number;
      /** Probability that the group runs again within this many milliseconds. */
      chanceOfReturn(withinMilliseconds: number): number;
    }
  | { readonly kind: DelayKind.Crowded }
  | { readonly kind: DelayKind.Contended; readonly contention: Contention }
  | { readonly kind: DelayKind.Limited; readonly roomInMilliseconds: number }
  | { readonly kind: DelayKind.BackingOff; readonly roomInMilliseconds: number };

/**
 * Returns what prevents a stream from being sent now; undefined when a server was chosen or none
 * is left.
 */
export function toStreamDelay(
  context: ForwardContext,
  choice: ServerChoice,
): StreamDelay | undefined {
  switch (choice.kind) {
    case ServerChoiceKind.AllBroken: {
      const { brokenForMilliseconds } = choice;
      return {
        kind: DelayKind.GroupBroken,
        brokenForMilliseconds,
        chanceOfReturn: (within) =>
          context.groupHealth.chanceOfReturn(brokenForMilliseconds, within),
      };
    }
    case ServerChoiceKind.AllCrowded:
      return { kind: DelayKind.Crowded };
    case ServerChoiceKind.AllLimited:
      return { kind: DelayKind.Limited, roomInMilliseconds: choice.limitedForMilliseconds };
    case ServerChoiceKind.AllBackingOff:
      return { kind: DelayKind.BackingOff, roomInMilliseconds: choice.backoffMilliseconds };
    case ServerChoiceKind.Chosen:
    case ServerChoiceKind.NoneLeft:
      return undefined;
    default: {
      const unreachable: never = choice;
      return unreachable;
    }
  }
}

/** Cause with which a caller is refused when its stream is no longer held. */
export const REFUSAL_CAUSE_BY_DELAY: Readonly<Record<DelayKind, RefusalCause>> = {
  [DelayKind.GroupBroken]: RefusalCause.GroupBroken,
  [DelayKind.Crowded]: RefusalCause.Crowded,
  [DelayKind.Contended]: RefusalCause.Contended,
  [DelayKind.Limited]: RefusalCause.Full,
  [DelayKind.BackingOff]: RefusalCause.BackingOff,
};

const REASON_BY_DELAY: Readonly<Record<DelayKind, string>> = {
  [DelayKind.GroupBroken]: 'the lock-step group is down',
  [DelayKind.Crowded]: 'every slot is taken',
  [DelayKind.Contended]: 'the service is short of capacity',
  [DelayKind.Limited]: 'limit share used up at every server',
  [DelayKind.BackingOff]: 'backoff requested by every server',
};

function contentionWait(contention: Contention): number {
  switch (contention.kind) {
    case ContentionKind.LongPasses:
      return contention.waitMilliseconds;
    case ContentionKind.ClassGivesWay:
      return 0;
    default: {
      const unreachable: never = contention;
      return unreachable;
    }
  }
}

function contentionFacts(contention: Contention): Readonly<Record<string, number>> {
  switch (contention.kind) {
    case ContentionKind.LongPasses:
      return { passMilliseconds: Math.round(contention.passMilliseconds) };
    case ContentionKind.ClassGivesWay:
      return {
        priorityClass: contention.priorityClass.index,
        priorityClasses: contention.priorityClass.count,
        streams: Math.round(contention.streams),
        limit: Math.round(contention.limit),
        admittedShare: Number(contention.admittedShare.toFixed(2)),
      };
    default: {
      const unreachable: never = contention;
      return unreachable;
    }
  }
}

/** Milliseconds for which the stream is held; 0 when it has to be refused now. */
function computeWait(
  { route, isRetry }: AcceptedRequest,
  delay: StreamDelay,
  situation: WaitSituation,
): number {
  switch (delay.kind) {
    case DelayKind.GroupBroken:
      return planGroupWait({ ...situation, ...delay, route, isRetry });
    case DelayKind.Crowded:
      // The caller of a moved stream has waited too long already to wait for a free slot again.
      return situation.isMoved ? 0 : planRecheckDelay({ ...situation, route, isRetry });
    case DelayKind.Contended:
      return contentionWait(delay.contention);
    case DelayKind.Limited:
    case DelayKind.BackingOff:
      return planRoomWait({ ...situation, ...delay, route, isRetry });
    default: {
      const unreachable: never = delay;
      return unreachable;
    }
  }
}

/** Log fields that explain the decision. */
function delayFacts(delay: StreamDelay, wait: number): Readonly<Record<string, number>> {
  switch (delay.kind) {
    case DelayKind.GroupBroken:
      return {
        brokenForMilliseconds: delay.brokenForMilliseconds,
        chanceOfReturn: Number(delay.chanceOfReturn(wait).toFixed(2)),
      };
    case DelayKind.Limited:
    case DelayKind.BackingOff:
      return { roomInMilliseconds: delay.roomInMilliseconds };
    case DelayKind.Contended:
      return contentionFacts(delay.contention);
    case DelayKind.Crowded:
      return {};
    default: {
      const unreachable: never = delay;
      return unreachable;
    }
  }
}

interface WaitSituation {
  /** Since the request arrived, or since the last event that its caller received. */
  readonly idleMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether the caller has received events. */
  readonly hasBegun: boolean;
  /** Whether the stream was moved from a server that stopped responding. */
  readonly isMoved: boolean;
}

export interface ServerWait extends Pick<WaitSituation, 'idleMilliseconds' | 'isMoved'> {
  /** Whether the stream has not run, so that a shutdown may still refuse it. */
  readonly canRefuse: boolean;
}

/**
 * Waits until a server may accept the stream; resolves with false when the caller is to be refused
 * instead.
 */
export async function waitForServer(
  context: ForwardContext,
  accepted: AcceptedRequest,
  delay: StreamDelay,
  { idleMilliseconds, isMoved, canRefuse }: ServerWait,
): Promise<boolean> {
  const situation = {
    idleMilliseconds,
    isMoved,
    remainingMilliseconds: computeRemainingMilliseconds(context, accepted),
    hasBegun: accepted.response.hasBegun,
  };
  const wait = computeWait(accepted, delay, situation);
  const { kind } = delay;
  context.logger.decision({
    kind: 'wait',
    subject: accepted.requestId,
    choice: wait === 0 ? 'give up' : 'keep',
    reason: REASON_BY_DELAY[kind],
    facts: {
      longest: Math.round(wait),
      silence: Math.round(idleMilliseconds),
      remaining: situation.remainingMilliseconds,
      hasBegun: situation.hasBegun,
      isRetry: accepted.isRetry,
      ...delayFacts(delay, wait),
    },
  });
  if (wait === 0) return false;
  const sendWindow = canRefuse ? computeSendWindow(context, accepted) : Infinity;
  let endShutdownWatch: () => unknown = () => undefined;
  const shutdownBegun = new Promise<void>((resolve) => {
    endShutdownWatch = context.shutdown.onBegin(resolve);
  });
  const ends = [sleep(Math.min(wait, sendWindow)), shutdownBegun];
  if (kind === DelayKind.GroupBroken) {
    ends.push(context.groupHealth.nextChange(), context.crashLedger.nextQuarantine());
  }
  await Promise.race(ends);
  endShutdownWatch();
  return true;
}
