/**
 * Computes the priority of streams that are queued. Intended for the seconds after an outage and
 * for bursts, when some callers have waited so long that their answer is late in any case, while
 * new ones can still be answered in time. In order of arrival all of them would be late until the
 * backlog is gone; served last, the late ones lose little, since they are not refused before their
 * callers would leave. Pure.
 */
import type { Route } from '@lapisbridge/catalog';

export enum Urgency {
  /** Its caller has received events, so every pause is visible. */
  Begun = 'begun',
  /** It has waited at a server that stopped, so it is overdue. */
  Moved = 'moved',
  /** The answer can still be in time. */
  Fresh = 'fresh',
  /** The answer is late in any case. */
  Late = 'late',
}

export interface WaitingStream {
  readonly route: Route;
  /** Whether the caller has received events. */
  readonly hasBegun: boolean;
  /** Whether it was moved from a server that had gone silent. */
  readonly isMoved: boolean;
  /** Whether the caller was refused before. */
  readonly isRetry: boolean;
  /** Time since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
}

/** Answering takes about this share of the route's latency objective. */
const ANSWER_TIME_SHARE = 0.5;
/** Highest value of a priority; 0 is served first. */
const LOWEST_PRIORITY = 9;

export function urgencyOf(waiting: WaitingStream): Urgency {
  if (waiting.hasBegun) return Urgency.Begun;
  if (waiting.isMoved) return Urgency.Moved;
  const latest = waiting.route.latencyObjectiveMilliseconds * (1 - ANSWER_TIME_SHARE);
  const isFresh = !waiting.isRetry && waiting.idleMilliseconds <= latest;
  return isFresh ? Urgency.Fresh : Urgency.Late;
}

/** `basePriority` is the priority of the route or of the client account. */
export function planPriority(basePriority: number, urgency: Urgency): number {
  switch (urgency) {
    case Urgency.Begun:
    case Urgency.Moved:
      return Math.max(0, basePriority - 1);
    case Urgency.Fresh:
      return basePriority;
    case Urgency.Late:
      return Math.min(LOWEST_PRIORITY, basePriority + 1);
    default: {
      const unreachable: never = urgency;
      return unreachable;
    }
  }
}
