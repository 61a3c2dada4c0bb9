/**
 * Who is served first where requests wait for each other. Made for the seconds after an outage and
 * for bursts, in which some callers have waited for so long that their answer is late whatever
 * happens, while those that ask now can still be in time. Served in the order of their arrival all
 * of them are late until the crowd is gone; served last, the late ones lose little, since they are
 * not let go before their callers would leave. Pure.
 */
import type { Route } from '@lapisbridge/catalog';

export enum Urgency {
  /** Its caller has had events: each pause shows. */
  Begun = 'begun',
  /** It has waited at a server that stopped: its turn is overdue. */
  Moved = 'moved',
  /** The answer can still be in time. */
  Fresh = 'fresh',
  /** The answer is late whatever happens. */
  Late = 'late',
}

export interface Waiting {
  readonly route: Route;
  /** Whether the caller has had events. */
  readonly hasBegun: boolean;
  /** Whether it was taken from a server that gave no sign of life. */
  readonly isMoved: boolean;
  /** Whether the caller was refused before. */
  readonly isRetry: boolean;
  /** Since the request arrived, or since its caller's last event. */
  readonly idleMilliseconds: number;
}

/** An answer takes about this share of the time that callers hope for. */
const ANSWER_SHARE = 0.5;
/** 0 is served first. */
const LAST_PRIORITY = 9;

export function urgencyOf(waiting: Waiting): Urgency {
  if (waiting.hasBegun) return Urgency.Begun;
  if (waiting.isMoved) return Urgency.Moved;
  const latest = waiting.route.latencyObjectiveMilliseconds * (1 - ANSWER_SHARE);
  const isFresh = !waiting.isRetry && waiting.idleMilliseconds <= latest;
  return isFresh ? Urgency.Fresh : Urgency.Late;
}

/** `usual` is the priority of the route or of the client account. */
export function planPriority(usual: number, urgency: Urgency): number {
  switch (urgency) {
    case Urgency.Begun:
    case Urgency.Moved:
      return Math.max(0, usual - 1);
    case Urgency.Fresh:
      return usual;
    case Urgency.Late:
      return Math.min(LAST_PRIORITY, usual + 1);
    default: {
      const unreachable: never = urgency;
      return unreachable;
    }
  }
}
