/**
 * What keeps a stream from being sent to a server just now, and how long it is kept for that.
 */
import { sleep } from '@lapisbridge/kernel';
import { ServerChoiceKind } from '@lapisbridge/routing';
import type { ServerChoice } from '@lapisbridge/routing';

import { remainingOf } from './forward-context.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { planCrowdWait } from './plan-offer.js';
import { RefusalCause } from './plan-retry-after.js';
import { planRoomWait, planWait } from './plan-wait.js';

export enum DelayKind {
  /** The lock-step groups of all servers stand still. */
  GroupBroken = 'groupBroken',
  /** Every slot is taken, and a place in a queue would be too late. */
  Crowded = 'crowded',
  /** Every server has had this entry's share for now. */
  Limited = 'limited',
  /** Every server has asked to be sent nothing for now. */
  BackingOff = 'backingOff',
}

export type Delay =
  | {
      readonly kind: DelayKind.GroupBroken;
      readonly brokenForMilliseconds: number;
      /** Chance that the group runs again within so many milliseconds. */
      chanceOfReturn(withinMilliseconds: number): number;
    }
  | { readonly kind: DelayKind.Crowded }
  | { readonly kind: DelayKind.Limited; readonly roomInMilliseconds: number }
  | { readonly kind: DelayKind.BackingOff; readonly roomInMilliseconds: number };

/** What keeps a stream from being sent now; undefined where a server was chosen or none is left. */
export function delayOf(context: ForwardContext, choice: ServerChoice): Delay | undefined {
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

/** Why a caller is refused whose stream is not kept any longer. */
export const REFUSAL_OF: Readonly<Record<DelayKind, RefusalCause>> = {
  [DelayKind.GroupBroken]: RefusalCause.GroupBroken,
  [DelayKind.Crowded]: RefusalCause.Crowded,
  [DelayKind.Limited]: RefusalCause.Full,
  [DelayKind.BackingOff]: RefusalCause.BackingOff,
};

const REASON_OF: Readonly<Record<DelayKind, string>> = {
  [DelayKind.GroupBroken]: 'its group stands still',
  [DelayKind.Crowded]: 'every slot is taken',
  [DelayKind.Limited]: 'every server has had its share',
  [DelayKind.BackingOff]: 'every server backs off',
};

/** Milliseconds for which the stream is kept; 0 when it has to be given up now. */
function planDelay(
  { route, isRetry }: AcceptedRequest,
  delay: Delay,
  situation: Situation,
): number {
  switch (delay.kind) {
    case DelayKind.GroupBroken:
      return planWait({ ...situation, ...delay, route, isRetry });
    case DelayKind.Crowded:
      // It has lost too much of its caller's patience to wait for room once more.
      return situation.isMoved ? 0 : planCrowdWait({ ...situation, route, isRetry });
    case DelayKind.Limited:
    case DelayKind.BackingOff:
      return planRoomWait({ ...situation, ...delay, route, isRetry });
    default: {
      const unreachable: never = delay;
      return unreachable;
    }
  }
}

/** What decided, for the log. */
function factsOf(delay: Delay, wait: number): Readonly<Record<string, number>> {
  switch (delay.kind) {
    case DelayKind.GroupBroken:
      return {
        brokenForMilliseconds: delay.brokenForMilliseconds,
        chanceOfReturn: Number(delay.chanceOfReturn(wait).toFixed(2)),
      };
    case DelayKind.Limited:
    case DelayKind.BackingOff:
      return { roomInMilliseconds: delay.roomInMilliseconds };
    case DelayKind.Crowded:
      return {};
    default: {
      const unreachable: never = delay;
      return unreachable;
    }
  }
}

interface Situation {
  /** Since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether the caller has had events. */
  readonly hasBegun: boolean;
  /** Whether it was taken from a server that gave no sign of life. */
  readonly isMoved: boolean;
}

/** Waits until a server may take the stream; false when its caller is to be told instead. */
export async function waitOut(
  context: ForwardContext,
  accepted: AcceptedRequest,
  delay: Delay,
  { idleMilliseconds, isMoved }: Pick<Situation, 'idleMilliseconds' | 'isMoved'>,
): Promise<boolean> {
  const situation = {
    idleMilliseconds,
    isMoved,
    remainingMilliseconds: remainingOf(context, accepted),
    hasBegun: accepted.answer.hasBegun,
  };
  const wait = planDelay(accepted, delay, situation);
  const { kind } = delay;
  context.logger.decision({
    kind: 'wait',
    subject: accepted.requestId,
    choice: wait === 0 ? 'give up' : 'keep',
    reason: REASON_OF[kind],
    facts: {
      longest: Math.round(wait),
      silence: Math.round(idleMilliseconds),
      remaining: situation.remainingMilliseconds,
      hasBegun: situation.hasBegun,
      isRetry: accepted.isRetry,
      ...factsOf(delay, wait),
    },
  });
  if (wait === 0) return false;
  if (kind === DelayKind.GroupBroken) {
    await Promise.race([context.groupHealth.nextChange(), sleep(wait)]);
  } else await sleep(wait);
  return true;
}
