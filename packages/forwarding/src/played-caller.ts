/**
 * A caller of a played load, and what callers got in the end.
 */
import { STREAM_ROUTE } from './stream-route-fixture.js';

/** How a played caller ended. */
export enum PlayedEnd {
  InTime = 'inTime',
  Late = 'late',
  /** Refused once more after having come back. */
  RefusedAgain = 'refusedAgain',
  /** Left without an event after having been kept or queued. */
  KeptInVain = 'keptInVain',
  /** Had the begin of an answer, and never got the rest. */
  CutOff = 'cutOff',
}

export interface PlayedCaller {
  /** Points in time are milliseconds of the play. */
  readonly firstAt: number;
  /** How long the answer takes once it has begun, in milliseconds. */
  readonly work: number;
  attemptAt: number;
  isRetry: boolean;
  /** When the entry looks at it again. */
  nextAt: number;
  /** Undefined until it is queued at a server. */
  queuedAt: number | undefined;
  /** Work left, once it runs. */
  left: number | undefined;
  /** At the server; 0 is served first. */
  priority: number;
  hasEvent: boolean;
  /** Its first event came as soon as hoped for, from passes that were not slow. */
  isOnTime: boolean;
  /** Had the begin of an answer when the group broke, so that its one return is spent. */
  wasCut: boolean;
  isOver: boolean;
}

export function arrive(firstAt: number, work: number): PlayedCaller {
  return {
    firstAt,
    work,
    attemptAt: firstAt,
    isRetry: false,
    nextAt: firstAt,
    queuedAt: undefined,
    left: undefined,
    priority: STREAM_ROUTE.priority,
    hasEvent: false,
    isOnTime: false,
    wasCut: false,
    isOver: false,
  };
}

export function comeBack(caller: PlayedCaller, at: number): void {
  Object.assign(caller, {
    attemptAt: at,
    nextAt: at,
    isRetry: true,
    queuedAt: undefined,
    left: undefined,
    hasEvent: false,
  } satisfies Partial<PlayedCaller>);
}
