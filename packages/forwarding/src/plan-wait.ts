/**
 * Computes how long a stream is held for a lock-step group that is re-formed, or for a server that
 * takes no request at the moment. Intended for outages of seconds, in which no backend server of
 * the service can run anything: a caller retries once after a refusal, so one that is refused twice
 * is lost, while one that is held is served with the first pass. Pure.
 */
import type { Route } from '@lapisbridge/catalog';

import { computeReplyMargin } from './reply-margin.js';

/**
 * Callers leave a stream after the longest of three times: this one, a number of latency
 * objectives, and a number of target gaps between events.
 */
const MINIMUM_PATIENCE_MILLISECONDS = 2000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/**
 * Time from sending to the first event when many streams are sent at once, as when a group has
 * recovered.
 */
export const FIRST_EVENT_MILLISECONDS = 400;
/**
 * Time to the next event of a started stream. It can only be resumed or aborted, so it is held
 * until the last moment.
 */
const NEXT_EVENT_MILLISECONDS = 100;

/**
 * Lowest probability of being served at which a retry is held. Its caller does not retry again and
 * is lost when refused; but to wait in vain and be refused then is worse than to be refused at
 * once.
 */
const RETRY_MINIMUM_CHANCE = 1 / 3;
/** The same for first attempts, whose callers can retry at a time that is as good. */
const FIRST_ATTEMPT_MINIMUM_CHANCE = 1 / 2;

/** How long a caller of the route waits for an event before it leaves. */
export function callerPatienceMilliseconds(route: Route): number {
  return Math.max(
    MINIMUM_PATIENCE_MILLISECONDS,
    PATIENCE_OBJECTIVES * route.latencyObjectiveMilliseconds,
    PATIENCE_GAPS * route.eventGapObjectiveMilliseconds,
  );
}

/**
 * Longest time without an event after which a stream is ended, in milliseconds. Its caller would
 * leave next, and a request at a server that has stopped would then run for nobody.
 */
export function planEventTimeout(route: Route): number {
  const patience = callerPatienceMilliseconds(route);
  return patience - computeReplyMargin(patience);
}

/** Windows of slow connections open in steps, some seconds apart. */
const MINIMUM_UNREAD_MILLISECONDS = 10_000;

/**
 * Longest time for which a caller may read nothing of what was sent to it, in milliseconds: longer
 * than any limit of its route.
 */
export function planUnreadTimeout(route: Route): number {
  return Math.max(
    MINIMUM_UNREAD_MILLISECONDS,
    route.timeoutMilliseconds,
    callerPatienceMilliseconds(route),
  );
}

/**
 * Longest time that a first attempt is held for a server's cold-start share, in milliseconds. After
 * a longer one its first event is late, and its caller may as well retry when there is capacity.
 */
const FIRST_ATTEMPT_MAXIMUM_WAIT_MILLISECONDS = 600;

export interface RoomWaitInput {
  readonly route: Route;
  /** Whether the caller was refused before, so that it will not retry again. */
  readonly isRetry: boolean;
  /** Time since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Time until the first server takes one more request. */
  readonly roomInMilliseconds: number;
}

/**
 * Milliseconds to wait until a server takes one more request; 0 if the stream is to be refused at
 * once. A burst uses up an entry's shares of all servers while the servers are half empty. Retries
 * are held for as long as their callers wait: refused once more they would be lost although a
 * server takes them within a second.
 */
export function planRoomWait(input: RoomWaitInput): number {
  const { route, isRetry, idleMilliseconds, remainingMilliseconds } = input;
  const patience = Math.min(
    callerPatienceMilliseconds(route) - idleMilliseconds,
    remainingMilliseconds,
  );
  const stay = patience - FIRST_EVENT_MILLISECONDS;
  const longest = isRetry
    ? stay
    : Math.min(stay, FIRST_ATTEMPT_MAXIMUM_WAIT_MILLISECONDS - idleMilliseconds);
  return input.roomInMilliseconds <= longest ? input.roomInMilliseconds : 0;
}

export interface GroupWaitInput {
  readonly route: Route;
  /** Time since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether the caller has received events. */
  readonly hasBegun: boolean;
  /** Whether the caller was refused before, so that it will not retry again. */
  readonly isRetry: boolean;
  /** Probability that the group runs again within so many milliseconds. */
  chanceOfReturn(withinMilliseconds: number): number;
}

/** Milliseconds for which the stream may still be held; 0 if it has to be refused now. */
export function planGroupWait(input: GroupWaitInput): number {
  const neededMilliseconds = input.hasBegun ? NEXT_EVENT_MILLISECONDS : FIRST_EVENT_MILLISECONDS;
  const patience = callerPatienceMilliseconds(input.route) - input.idleMilliseconds;
  const longest = Math.max(0, Math.min(patience, input.remainingMilliseconds) - neededMilliseconds);
  if (input.hasBegun) return longest;
  const minimumChance = input.isRetry ? RETRY_MINIMUM_CHANCE : FIRST_ATTEMPT_MINIMUM_CHANCE;
  return input.chanceOfReturn(longest) < minimumChance ? 0 : longest;
}
