/**
 * Records which events the caller of a stream has received and when, over all attempts.
 */
import { LatencyKind } from '@lapisbridge/metrics';

import type { ResponseHead } from './caller-protocol.js';
import type { StreamEvent } from './event-splitter.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import type { RequestEnd } from './request-end.js';
import { roundedOrNone } from './rounded-or-none.js';
import type { StreamSink } from './stream-attempt.js';

/** Why an answer missed the objectives of its route. */
export enum LateCause {
  /** The entry held the stream for most of the time until its first event. */
  Held = 'held',
  /** The server took most of that time. */
  Queued = 'queued',
  /** Its passes took longer than the objective. */
  SlowPasses = 'slowPasses',
  /** It sent no event for longer than any pass takes. */
  Standstill = 'standstill',
}

/** Passes of a fully loaded group with a slow rank take less than this. */
const STANDSTILL_MILLISECONDS = 1000;

export interface StreamRecord {
  /** Forwards events to the caller and records them. */
  readonly sink: StreamSink;
  /**
   * Milliseconds since the request arrived, or since the last event that its caller received; 0
   * while the caller applies backpressure.
   */
  idleMilliseconds(): number;
  /** Number of events that the caller received of this request. */
  eventCount(): number;
  /** Records that the stream is sent to a server. */
  recordSend(): void;
  /** Whether the first event and the gaps between events met the route's objectives. */
  isOnTime(): boolean;
  /** Log fields. */
  facts(): RequestEnd['facts'];
}

export function createStreamRecord(
  context: ForwardContext,
  accepted: AcceptedRequest,
): StreamRecord {
  const { response, route, request, arrivedAt } = accepted;
  let { lastEventId } = request;
  let lastEventAt = context.now();
  let isBackpressured = false;
  let firstEventMilliseconds: number | undefined;
  let longestPauseMilliseconds = 0;
  let sentAt = arrivedAt;
  let eventCount = 0;

  function recordEvent(head: ResponseHead): void {
    const at = context.now();
    if (response.hasBegun) {
      longestPauseMilliseconds = Math.max(longestPauseMilliseconds, at - lastEventAt);
    } else {
      response.begin(head.status, head.headers);
      firstEventMilliseconds = at - arrivedAt;
      context.metrics.observe(LatencyKind.FirstEvent, firstEventMilliseconds);
    }
    lastEventAt = at;
  }

  function lateCause(): LateCause | undefined {
    if (firstEventMilliseconds === undefined) return undefined;
    if (firstEventMilliseconds > route.latencyObjectiveMilliseconds) {
      const isHeld = sentAt - arrivedAt > firstEventMilliseconds / 2;
      return isHeld ? LateCause.Held : LateCause.Queued;
    }
    if (longestPauseMilliseconds <= route.eventGapObjectiveMilliseconds) return undefined;
    return longestPauseMilliseconds > STANDSTILL_MILLISECONDS
      ? LateCause.Standstill
      : LateCause.SlowPasses;
  }

  return {
    recordSend() {
      if (firstEventMilliseconds === undefined) sentAt = context.now();
    },
    sink: {
      lastEventId: () => lastEventId,
      onEvent(head: ResponseHead, event: StreamEvent) {
        recordEvent(head);
        eventCount += 1;
        lastEventId = event.id ?? lastEventId;
        isBackpressured = !response.write(event.bytes);
        return !isBackpressured;
      },
      onDrain(listener) {
        response.onDrain(() => {
          isBackpressured = false;
          lastEventAt = context.now();
          listener();
        });
      },
    },
    eventCount: () => eventCount,
    idleMilliseconds: () => (isBackpressured ? 0 : context.now() - lastEventAt),
    isOnTime: () => firstEventMilliseconds !== undefined && lateCause() === undefined,
    facts: () => ({
      lastEventId,
      firstEvent: roundedOrNone(firstEventMilliseconds),
      longestPause: Math.round(longestPauseMilliseconds),
      lateCause: lateCause(),
    }),
  };
}
