/**
 * How long a stream is kept for a lock-step group that forms anew. Made for outages of seconds,
 * in which no backend server of the service can run anything: a caller comes back once after a
 * refusal, so one that is refused twice is lost, while one that is kept is served with the
 * first pass. Pure.
 */
import type { Route } from '@lapisbridge/catalog';

import { planReplyMargin } from './reply-margin.js';

/** Callers leave a stream after the longest of a time, some objectives and some pauses. */
const PATIENCE_MILLISECONDS = 2000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/** From a send to the first event where many are sent at once, as when a group is back. */
export const FIRST_EVENT_MILLISECONDS = 400;
/** A started stream can only be saved or broken off, so the last moment is used as well. */
const NEXT_EVENT_MILLISECONDS = 100;

/**
 * Chance of being served from which callers are kept that have come back. They do not come again and
 * are lost when refused; but to wait for nothing, and to be told then, is worse than to be told at once.
 */
const RETURNED_CHANCE = 1 / 3;
/** The same for callers at their first try, who can come back at a time that is as good. */
const FIRST_CHANCE = 1 / 2;

export function callerPatience(route: Route): number {
  return Math.max(
    PATIENCE_MILLISECONDS,
    PATIENCE_OBJECTIVES * route.latencyObjectiveMilliseconds,
    PATIENCE_GAPS * route.eventGapObjectiveMilliseconds,
  );
}

/**
 * Longest time without an event after which a stream is ended, in milliseconds. Its caller would
 * leave next, and a request that lies at a server which has stopped then runs for nobody.
 */
export function planEventTimeout(route: Route): number {
  const patience = callerPatience(route);
  return patience - planReplyMargin(patience);
}

/**
 * Longest wait of a caller at its first try for a server's cold-start share, in milliseconds. One
 * that waits longer gets its first event late, and may as well come back when there is room.
 */
const FIRST_LONGEST_ROOM_MILLISECONDS = 600;

export interface RoomWaitInput {
  readonly route: Route;
  /** Whether the caller was refused before, so that it will not come back. */
  readonly isRetry: boolean;
  /** Since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Until the first server takes one more request. */
  readonly roomInMilliseconds: number;
}

/**
 * Milliseconds to wait for room at a server; 0 when the stream is to be refused at once. A
 * burst uses up an entry's shares of all servers while these stand half empty. Callers that have
 * come back are kept as long as they stay: refused once more they would be lost although there
 * is room within a second.
 */
export function planRoomWait(input: RoomWaitInput): number {
  const { route, isRetry, idleMilliseconds, remainingMilliseconds } = input;
  const patience = Math.min(callerPatience(route) - idleMilliseconds, remainingMilliseconds);
  const stay = patience - FIRST_EVENT_MILLISECONDS;
  const longest = isRetry
    ? stay
    : Math.min(stay, FIRST_LONGEST_ROOM_MILLISECONDS - idleMilliseconds);
  return input.roomInMilliseconds <= longest ? input.roomInMilliseconds : 0;
}

export interface WaitInput {
  readonly route: Route;
  /** Since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether the caller has had events. */
  readonly hasBegun: boolean;
  /** Whether the caller was refused before, so that it will not come back. */
  readonly isRetry: boolean;
  /** Chance that the group runs again within so many milliseconds. */
  chanceOfReturn(withinMilliseconds: number): number;
}

/** Milliseconds for which the stream may still be kept; 0 when it has to be given up now. */
export function planWait(input: WaitInput): number {
  const needed = input.hasBegun ? NEXT_EVENT_MILLISECONDS : FIRST_EVENT_MILLISECONDS;
  const patience = callerPatience(input.route) - input.idleMilliseconds;
  const longest = Math.max(0, Math.min(patience, input.remainingMilliseconds) - needed);
  if (input.hasBegun) return longest;
  const fewest = input.isRetry ? RETURNED_CHANCE : FIRST_CHANCE;
  return input.chanceOfReturn(longest) < fewest ? 0 : longest;
}
