/**
 * The time that an entry has left once it stops. A request whose own timeout is longer is rejected
 * before it is passed on, so that its caller goes to another entry at once.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { MonotonicClock } from '@lapisbridge/kernel';

export interface StopDeadline {
  /** Called at the beginning of the stop. */
  begin(maximumMilliseconds: number): void;
  /** From now on requests that may outlast the entry are rejected. */
  rejectLate(): void;
  /** Milliseconds until requests in progress are ended; infinite while the entry runs. */
  remaining(): number;
  /** Throws `NotReady` when the entry may end before the timeout of a new request. */
  requireTime(timeoutMilliseconds: number): void;
}

export function createStopDeadline(now: MonotonicClock): StopDeadline {
  let endsAt = Infinity;
  let isRejecting = false;

  function remaining(): number {
    return Math.max(0, endsAt - now());
  }

  return {
    begin(maximumMilliseconds) {
      endsAt = now() + maximumMilliseconds;
    },
    rejectLate() {
      isRejecting = true;
    },
    remaining,
    requireTime(timeoutMilliseconds) {
      if (!isRejecting || timeoutMilliseconds <= remaining()) return;
      throw new LapisError(
        ResultCode.NotReady,
        `the entry stops within ${Math.floor(remaining())} ms, before the timeout of the request`,
      );
    },
  };
}
