/**
 * Decides how long a stream is held while the passes of its lock-step group are long. Intended for
 * the second after a shift of the demand for experts, in which a group under load nearly misses its
 * objective for pauses: streams that start then lengthen the passes of all others beyond it, while
 * a few tenths of a second later they harm nobody. A stream is held only as long as its first event
 * can still be in time, and is never refused for it. Pure.
 */
export interface PassHoldInput {
  /** Recent duration of a pass of the group. */
  readonly passMilliseconds: number;
  /** Longest pause between events with which an answer is on time. */
  readonly gapObjectiveMilliseconds: number;
  readonly latencyObjectiveMilliseconds: number;
  /** Time that the caller waits for a first event before it leaves. */
  readonly patienceMilliseconds: number;
  /** The caller was refused before, so that its answer is late in any case. */
  readonly isRetry: boolean;
  /** Time since the request arrived. */
  readonly idleMilliseconds: number;
}

/** Share of the objective for pauses from which passes are long. */
const LONG_PASS_SHARE = 0.75;
/** Passes until the first event of a stream: one to read its prompt, one to write. */
const PASSES_TO_FIRST_EVENT = 2;
/** Share of the latency objective that is left for the network. */
const TRANSPORT_SHARE = 0.1;
/** Share of its caller's patience for which a retry is held. */
const RETRY_PATIENCE_SHARE = 0.25;
/** Less than a pass. */
const RECHECK_MILLISECONDS = 50;

function planLongestHold(input: PassHoldInput): number {
  if (input.isRetry) return input.patienceMilliseconds * RETRY_PATIENCE_SHARE;
  return (
    input.latencyObjectiveMilliseconds * (1 - TRANSPORT_SHARE) -
    PASSES_TO_FIRST_EVENT * input.passMilliseconds
  );
}

/** Milliseconds until the passes are checked again; 0 if the stream may start now. */
export function planPassHold(input: PassHoldInput): number {
  if (input.passMilliseconds < input.gapObjectiveMilliseconds * LONG_PASS_SHARE) return 0;
  const isPossible = input.idleMilliseconds + RECHECK_MILLISECONDS <= planLongestHold(input);
  return isPossible ? RECHECK_MILLISECONDS : 0;
}
