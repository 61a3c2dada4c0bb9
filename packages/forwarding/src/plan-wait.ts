/**
 * How long a stream is kept for a lock-step group that forms anew. Made for outages of seconds,
 * in which no backend server of the service can run anything: a caller comes back once after a
 * refusal, so one that is refused twice is lost, while one that is kept is served with the
 * first pass. Pure.
 */
import type { Route } from '@lapisbridge/catalog';

/** Callers leave a stream after the longest of a time, some objectives and some pauses. */
const PATIENCE_MILLISECONDS = 2000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/**
 * From a send to the first event: 170 ms at the median of a day at high load, and up to 550 at
 * the 90th percentile in seconds in which a map changes.
 */
export const FIRST_EVENT_MILLISECONDS = 400;
/** A started stream can only be saved or broken off, so the last moment is used as well. */
const NEXT_EVENT_MILLISECONDS = 100;

/**
 * Age of an outage from which callers that have come back are kept. Engines stall for 1.5 s
 * before they tell, and ranks that crash or are cut off are away for three to six seconds, so a
 * younger outage rarely ends within the 1.6 s for which a caller can be kept; a caller that is
 * kept in vain is worse off than one that is refused at once.
 */
const KEEP_RETURNED_MILLISECONDS = 1500;
/** The same for callers at their first try, who lose nothing by coming back later. */
const KEEP_FIRST_MILLISECONDS = 3500;

export function callerPatience(route: Route): number {
  return Math.max(
    PATIENCE_MILLISECONDS,
    PATIENCE_OBJECTIVES * route.objectiveMilliseconds,
    PATIENCE_GAPS * route.gapMilliseconds,
  );
}

/**
 * Longest wait for a server's cold-start share, in milliseconds. Shares are counted over one
 * second, so room comes within that time; a caller that waits longer gets its first event late,
 * and others that arrive meanwhile would find less room.
 */
const LONGEST_ROOM_MILLISECONDS = 600;

export interface RoomWaitInput {
  readonly route: Route;
  /** Since the request arrived, or since its caller's last event. */
  readonly silenceMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Until the first server takes one more request. */
  readonly roomInMilliseconds: number;
}

/**
 * Milliseconds to wait for room at a server; 0 when the stream is to be refused at once. A
 * burst uses up an entry's shares of all servers while these stand half empty: thirty callers
 * of one day were refused so although none had been tried anywhere.
 */
export function planRoomWait(input: RoomWaitInput): number {
  const patience = callerPatience(input.route) - input.silenceMilliseconds;
  const longest = Math.min(
    LONGEST_ROOM_MILLISECONDS - input.silenceMilliseconds,
    Math.min(patience, input.remainingMilliseconds) - FIRST_EVENT_MILLISECONDS,
  );
  return input.roomInMilliseconds <= longest ? input.roomInMilliseconds : 0;
}

export interface WaitInput {
  readonly route: Route;
  /** Since the request arrived, or since its caller's last event. */
  readonly silenceMilliseconds: number;
  readonly remainingMilliseconds: number;
  /** Whether the caller has had events. */
  readonly hasBegun: boolean;
  /** Whether the caller was refused before, so that it will not come back. */
  readonly hasComeBack: boolean;
  /** For how long the group has stood still; infinite when it did before this entry knew it. */
  readonly brokenForMilliseconds: number;
}

/** Milliseconds for which the stream may still be kept; 0 when it has to be given up now. */
export function planWait(input: WaitInput): number {
  const keepFrom = input.hasComeBack ? KEEP_RETURNED_MILLISECONDS : KEEP_FIRST_MILLISECONDS;
  if (!input.hasBegun && input.brokenForMilliseconds < keepFrom) return 0;
  const needed = input.hasBegun ? NEXT_EVENT_MILLISECONDS : FIRST_EVENT_MILLISECONDS;
  const patience = callerPatience(input.route) - input.silenceMilliseconds;
  return Math.max(0, Math.min(patience, input.remainingMilliseconds) - needed);
}
