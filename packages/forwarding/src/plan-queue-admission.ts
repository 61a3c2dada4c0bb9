/**
 * Admission control for the queues of backend servers: decides whether a stream is sent to a server
 * whose slots are taken, or its caller is told to retry. Intended for the seconds after an outage
 * and for bursts, when more streams arrive than there are slots. The streams that waited fill every
 * slot at once, and each stream that is queued behind them delays all later ones as much, for
 * seconds in which the servers complete more than arrives. A caller that is told to retry is late
 * as well, but delays nobody else. Pure.
 */
import { Urgency, urgencyOf } from './plan-priority.js';
import type { WaitingStream } from './plan-priority.js';
import { callerPatienceMilliseconds, FIRST_EVENT_MILLISECONDS } from './plan-wait.js';

/** Streams that may be queued at a server and still start in time, as a share of its slots. */
const FIRST_ATTEMPT_QUEUE_SHARE = 0.15;
/**
 * The same for retries. Their callers do not retry again, so they may be queued for as long as the
 * callers wait.
 */
const RETRY_QUEUE_SHARE = 0.75;
/**
 * Share of the time that its caller waits for which a late stream is sent to free slots only. In a
 * queue it would keep streams from being sent to the server that can still be in time.
 */
const QUEUEING_DELAY_SHARE = 0.375;

/**
 * Largest typical time to the first event at another server, as a share of the caller's remaining
 * patience, at which a stream is moved there.
 */
const MOVED_PATIENCE_SHARE = 0.5;

export interface QueueAdmissionInput extends WaitingStream {
  readonly slots: number;
  /** Typical time to the first event at the server, in milliseconds; 0 if unknown. */
  readonly typicalMilliseconds: number;
  /** Streams at the server, including those that other entries may have sent since its report. */
  readonly expectedStreams: number;
  /** Age of that report in milliseconds; undefined without one. */
  readonly reportAge: number | undefined;
}

/**
 * Older reports are ignored. What other entries may have sent since is an estimate that grows with
 * every request of this entry, and callers would be told to retry while servers are idle. Covers
 * two reports of a large group, so that one lost report has no effect.
 */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 700;

/** Streams that a server may hold, this one included, as a multiple of its slots. */
function planMaximumOccupancy(input: QueueAdmissionInput): number {
  const urgency = urgencyOf(input);
  switch (urgency) {
    case Urgency.Begun:
      // Elsewhere it would start over, so any position in the queue is better than none.
      return Infinity;
    case Urgency.Moved: {
      const patience = callerPatienceMilliseconds(input.route) - input.idleMilliseconds;
      if (input.typicalMilliseconds > patience * MOVED_PATIENCE_SHARE) return 0;
      // It has priority over the streams that are queued there.
      return 1 + RETRY_QUEUE_SHARE;
    }
    case Urgency.Fresh:
      return 1 + FIRST_ATTEMPT_QUEUE_SHARE;
    case Urgency.Late: {
      const stay = callerPatienceMilliseconds(input.route) - FIRST_EVENT_MILLISECONDS;
      const waited = input.idleMilliseconds / stay;
      if (!input.isRetry || waited < QUEUEING_DELAY_SHARE) return 1;
      return 1 + RETRY_QUEUE_SHARE * Math.max(0, 1 - waited);
    }
    default: {
      const unreachable: never = urgency;
      return unreachable;
    }
  }
}

/** Whether the server can start the stream in time for its caller, as far as this entry knows. */
export function canAdmitStream(input: QueueAdmissionInput): boolean {
  const { reportAge } = input;
  const share = planMaximumOccupancy(input);
  if (share === 0) return false;
  if (reportAge === undefined || reportAge > MAXIMUM_REPORT_AGE_MILLISECONDS) return true;
  return input.expectedStreams + 1 <= input.slots * share;
}

/** Time after which new reports show slots that have become free. */
const RECHECK_MILLISECONDS = 170;
/** A first attempt is held for two reports, and then gives way to the next caller. */
const FIRST_ATTEMPT_MAXIMUM_MILLISECONDS = 300;

export type RecheckDelayInput = Pick<
  QueueAdmissionInput,
  'route' | 'isRetry' | 'idleMilliseconds'
> & {
  readonly remainingMilliseconds: number;
};

/** Milliseconds until the servers are checked again; 0 if the stream is to be refused now. */
export function planRecheckDelay(input: RecheckDelayInput): number {
  const { idleMilliseconds: idle, remainingMilliseconds: remaining } = input;
  const patience = Math.min(callerPatienceMilliseconds(input.route) - idle, remaining);
  if (patience < RECHECK_MILLISECONDS + FIRST_EVENT_MILLISECONDS) return 0;
  if (!input.isRetry && idle + RECHECK_MILLISECONDS > FIRST_ATTEMPT_MAXIMUM_MILLISECONDS) return 0;
  return RECHECK_MILLISECONDS;
}
