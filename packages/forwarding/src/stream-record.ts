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

export interface StreamRecord {
  /** Forwards events to the caller and records them. */
  readonly sink: StreamSink;
  /**
   * Milliseconds since the request arrived, or since the last event that its caller received; 0
   * while the caller applies backpressure.
   */
  idleMilliseconds(): number;
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

  return {
    sink: {
      lastEventId: () => lastEventId,
      onEvent(head: ResponseHead, event: StreamEvent) {
        recordEvent(head);
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
    idleMilliseconds: () => (isBackpressured ? 0 : context.now() - lastEventAt),
    isOnTime: () =>
      firstEventMilliseconds !== undefined &&
      firstEventMilliseconds <= route.latencyObjectiveMilliseconds &&
      longestPauseMilliseconds <= route.eventGapObjectiveMilliseconds,
    facts: () => ({
      lastEventId,
      firstEvent: roundedOrNone(firstEventMilliseconds),
      longestPause: Math.round(longestPauseMilliseconds),
    }),
  };
}
