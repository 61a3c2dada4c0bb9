/**
 * Whether a stream is offered to a server whose slots are taken, or its caller told to come back.
 * Made for the seconds after an outage and for bursts, in which more streams come than slots: the
 * streams that waited fill every slot at once, and each one that queues behind them makes all that
 * come later wait as long, for seconds in which the servers do more work than comes. A caller that
 * is told to come back is late too, but alone. Pure.
 */
import { Urgency, urgencyOf } from './plan-priority.js';
import type { WaitingStream } from './plan-priority.js';
import { callerPatienceMilliseconds, FIRST_EVENT_MILLISECONDS } from './plan-wait.js';

/** Streams that may wait at a server, as a share of its slots, and still begin in time. */
const FIRST_ATTEMPT_QUEUE_SHARE = 0.15;
/** Callers that have come back do not come again: they may wait as long as they stay. */
const RETRY_QUEUE_SHARE = 0.75;

/** Share of a caller's patience that the first event may take elsewhere, by what is usual there. */
const MOVED_PATIENCE_SHARE = 0.5;

export interface QueueAdmissionInput extends WaitingStream {
  readonly slots: number;
  /** Usual time of a first event there, in milliseconds; 0 when unknown. */
  readonly typicalMilliseconds: number;
  /** Streams at the server, with what other entries may have sent since it reported. */
  readonly expectedStreams: number;
  /** Age of that report in milliseconds; undefined where there is none. */
  readonly reportAge: number | undefined;
}

/**
 * Reports older than this say too little: what others may have sent since is a guess that grows
 * with every own request, and callers would be told to come back while servers stand empty. Two
 * reports of a large group, so that a lost one changes nothing.
 */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 700;

/** Streams that a server may have with this one, as a multiple of its slots. */
function planMaximumOccupancy(input: QueueAdmissionInput): number {
  const urgency = urgencyOf(input);
  switch (urgency) {
    case Urgency.Begun:
      // Elsewhere it would begin anew, so any place in a queue is better than none.
      return Infinity;
    case Urgency.Moved: {
      const patience = callerPatienceMilliseconds(input.route) - input.idleMilliseconds;
      if (input.typicalMilliseconds > patience * MOVED_PATIENCE_SHARE) return 0;
      // It is served before those that wait there.
      return 1 + RETRY_QUEUE_SHARE;
    }
    case Urgency.Fresh:
      return 1 + FIRST_ATTEMPT_QUEUE_SHARE;
    case Urgency.Late: {
      if (!input.isRetry) return 1 + FIRST_ATTEMPT_QUEUE_SHARE;
      const stay = callerPatienceMilliseconds(input.route) - FIRST_EVENT_MILLISECONDS;
      const left = Math.max(0, 1 - input.idleMilliseconds / stay);
      return 1 + RETRY_QUEUE_SHARE * left;
    }
    default: {
      const unreachable: never = urgency;
      return unreachable;
    }
  }
}

/** Whether the server can begin the stream in time for its caller, as far as this entry knows. */
export function canAdmitStream(input: QueueAdmissionInput): boolean {
  const { reportAge } = input;
  const share = planMaximumOccupancy(input);
  if (share === 0) return false;
  if (reportAge === undefined || reportAge > MAXIMUM_REPORT_AGE_MILLISECONDS) return true;
  return input.expectedStreams + 1 <= input.slots * share;
}

/** Time after which reports tell of room that they did not show before. */
const RECHECK_MILLISECONDS = 170;
/** A caller at its first try is kept for two reports; then its place is free for the next one. */
const FIRST_ATTEMPT_MAXIMUM_MILLISECONDS = 300;

export type RecheckDelayInput = Pick<
  QueueAdmissionInput,
  'route' | 'isRetry' | 'idleMilliseconds'
> & {
  readonly remainingMilliseconds: number;
};

/** Milliseconds until the servers are looked at again; 0 when the stream is to be refused now. */
export function planRecheckDelay(input: RecheckDelayInput): number {
  const { idleMilliseconds: idle, remainingMilliseconds: remaining } = input;
  const patience = Math.min(callerPatienceMilliseconds(input.route) - idle, remaining);
  if (patience < RECHECK_MILLISECONDS + FIRST_EVENT_MILLISECONDS) return 0;
  if (!input.isRetry && idle + RECHECK_MILLISECONDS > FIRST_ATTEMPT_MAXIMUM_MILLISECONDS) return 0;
  return RECHECK_MILLISECONDS;
}
