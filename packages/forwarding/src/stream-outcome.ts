/**
 * What the end of an attempt at a stream says about whether the request has run.
 */
import { OutcomeKind } from './outcome.js';
import type { Outcome } from './outcome.js';
import { StreamEndKind } from './stream-attempt.js';
import type { StreamEnd } from './stream-attempt.js';

export function toStreamOutcome(end: StreamEnd): Outcome {
  switch (end.kind) {
    case StreamEndKind.Complete:
      return { kind: OutcomeKind.Unknown, reason: 'complete' };
    case StreamEndKind.Answered:
      return { kind: OutcomeKind.Answered, head: end.head, body: end.body };
    case StreamEndKind.NotRun:
      return {
        kind: OutcomeKind.NotRun,
        reason: end.reason,
        wasRefused: end.wasRefused,
        wasSent: end.wasSent,
      };
    case StreamEndKind.Incomplete:
      return { kind: OutcomeKind.Unknown, reason: end.reason };
    default: {
      const unreachable: never = end;
      return unreachable;
    }
  }
}
