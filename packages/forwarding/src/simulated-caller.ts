/**
 * A caller of a played load, and what callers got in the end.
 */
import { STREAM_ROUTE } from './stream-route-fixture.js';

/** How a played caller ended. */
export enum CallerEnd {
  InTime = 'inTime',
  Late = 'late',
  /** Refused once more after having come back. */
  RefusedAgain = 'refusedAgain',
  /** Left without an event after having been kept or queued. */
  TimedOut = 'keptInVain',
  /** Had the begin of an answer, and never got the rest. */
  CutOff = 'cutOff',
}

export interface SimulatedCaller {
  /** Points in time are milliseconds of the play. */
  readonly firstAt: number;
  /** How long the answer takes once it has begun, in milliseconds. */
  readonly serviceMilliseconds: number;
  attemptAt: number;
  isRetry: boolean;
  /** When the entry looks at it again. */
  nextAt: number;
  /** Undefined until it is queued at a server. */
  queuedAt: number | undefined;
  /** Work left, once it runs. */
  remainingServiceMilliseconds: number | undefined;
  /** At the server; 0 is served first. */
  priority: number;
  hasEvent: boolean;
  /** Its first event came as soon as hoped for, from passes that were not slow. */
  isOnTime: boolean;
  /** Had the begin of an answer when the group broke, so that its one return is spent. */
  wasInterrupted: boolean;
  isOver: boolean;
}

export function createSimulatedCaller(
  firstAt: number,
  serviceMilliseconds: number,
): SimulatedCaller {
  return {
    firstAt,
    serviceMilliseconds,
    attemptAt: firstAt,
    isRetry: false,
    nextAt: firstAt,
    queuedAt: undefined,
    remainingServiceMilliseconds: undefined,
    priority: STREAM_ROUTE.priority,
    hasEvent: false,
    isOnTime: false,
    wasInterrupted: false,
    isOver: false,
  };
}

export function scheduleRetry(caller: SimulatedCaller, at: number): void {
  Object.assign(caller, {
    attemptAt: at,
    nextAt: at,
    isRetry: true,
    queuedAt: undefined,
    remainingServiceMilliseconds: undefined,
    hasEvent: false,
  } satisfies Partial<SimulatedCaller>);
}
