/**
 * A simulated caller, and the outcomes that it can have.
 */
import { STREAM_ROUTE } from './stream-route-fixture.js';

/** How a simulated caller ended. */
export enum CallerEnd {
  InTime = 'inTime',
  Late = 'late',
  /** Refused again after its retry. */
  RefusedAgain = 'refusedAgain',
  /** Left without an event after being held or queued. */
  TimedOut = 'keptInVain',
  /** Received the start of an answer, but not the rest. */
  CutOff = 'cutOff',
}

export interface SimulatedCaller {
  /** Time of arrival. All points in time are milliseconds of the simulation. */
  readonly firstAt: number;
  /** Duration of the answer once it has started. */
  readonly serviceMilliseconds: number;
  attemptAt: number;
  isRetry: boolean;
  /** When the entry decides on it next. */
  nextAt: number;
  /** Undefined until it is queued at a server. */
  queuedAt: number | undefined;
  /** Remaining time at the server; undefined until it runs. */
  remainingServiceMilliseconds: number | undefined;
  /** Priority in the server's queue; 0 is served first. */
  priority: number;
  hasEvent: boolean;
  /** Its first event met the latency objective, and came from passes that were not slow. */
  isOnTime: boolean;
  /** Its answer had started when the group broke, so that its only retry is used. */
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
