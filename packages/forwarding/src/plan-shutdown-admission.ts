/**
 * Decides whether an entry that shuts down still sends a request to a backend server. Once sent, a
 * request without a whole response is lost to its caller; refused before, its caller asks another
 * entry. Pure.
 */
import { ShutdownPhase } from './entry-shutdown.js';

export interface ShutdownAdmissionInput {
  /** Phase of the shutdown in which the request was complete. */
  readonly admittedIn: ShutdownPhase;
  /** Until the request's own timeout, or that of its caller. */
  readonly untilExpiryMilliseconds: number;
  /** Until the deadline of the shutdown; infinite while not shutting down. */
  readonly untilDeadlineMilliseconds: number;
  /** Time within which most responses of the route are complete. */
  readonly usualMilliseconds: number;
}

/** Milliseconds for which the request may still be sent; 0 if it has to be refused. */
export function planSendWindow(input: ShutdownAdmissionInput): number {
  const { admittedIn, untilExpiryMilliseconds, untilDeadlineMilliseconds } = input;
  if (untilExpiryMilliseconds <= untilDeadlineMilliseconds) return untilExpiryMilliseconds;
  switch (admittedIn) {
    case ShutdownPhase.None:
    case ShutdownPhase.Accepting:
      return Math.max(0, untilDeadlineMilliseconds - input.usualMilliseconds);
    case ShutdownPhase.Draining:
      // Load balancers know by now that the entry stops, so a retry reaches another one.
      return 0;
    default: {
      const unreachable: never = admittedIn;
      throw new Error(String(unreachable));
    }
  }
}
