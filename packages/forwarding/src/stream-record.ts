/**
 * What the caller of a stream has had so far, and when: over all attempts at the stream.
 */
import { LatencyKind } from '@lapisbridge/metrics';

import type { AnswerHead } from './caller-protocol.js';
import type { StreamEvent } from './event-splitter.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import type { RequestEnd } from './note-outcome.js';
import { roundedOrNone } from './rounded-or-none.js';
import type { StreamSink } from './stream-attempt.js';

export interface StreamRecord {
  /** Passes events on to the caller and takes note of them. */
  readonly sink: StreamSink;
  /**
   * Milliseconds since the request arrived, or since its caller's last event; 0 while the caller
   * does not take more.
   */
  idleMilliseconds(): number;
  /** Whether first event and pauses were as callers hope for. */
  isOnTime(): boolean;
  /** For the log. */
  facts(): RequestEnd['facts'];
}

export function createStreamRecord(
  context: ForwardContext,
  accepted: AcceptedRequest,
): StreamRecord {
  const { answer, route, request, arrivedAt } = accepted;
  let { lastEventId } = request;
  let lastEventAt = context.now();
  let isBackedUp = false;
  let firstEventMilliseconds: number | undefined;
  let longestPauseMilliseconds = 0;

  function noteEvent(head: AnswerHead): void {
    const at = context.now();
    if (answer.hasBegun) {
      longestPauseMilliseconds = Math.max(longestPauseMilliseconds, at - lastEventAt);
    } else {
      answer.begin(head.status, head.headers);
      firstEventMilliseconds = at - arrivedAt;
      context.metrics.observe(LatencyKind.FirstEvent, firstEventMilliseconds);
    }
    lastEventAt = at;
  }

  return {
    sink: {
      lastEventId: () => lastEventId,
      onEvent(head: AnswerHead, event: StreamEvent) {
        noteEvent(head);
        lastEventId = event.id ?? lastEventId;
        isBackedUp = !answer.write(event.bytes);
        return !isBackedUp;
      },
      onDrain(listener) {
        answer.onDrain(() => {
          isBackedUp = false;
          lastEventAt = context.now();
          listener();
        });
      },
    },
    idleMilliseconds: () => (isBackedUp ? 0 : context.now() - lastEventAt),
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
