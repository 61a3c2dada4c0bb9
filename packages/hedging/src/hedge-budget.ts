/**
 * Port for duplicates of late requests that may be repeated.
 */
import type { HedgeDenial } from './plan-hedge.js';

/** Operators' limit on duplicates; hedging is off without one. */
export interface HedgeLimit {
  /** Largest share of a service's requests in the window that is sent twice, 0 to 1. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
}

/** Duplicates of one service since the process started. */
export interface HedgeCount {
  readonly service: string;
  /** Duplicates taken from the limit, without those that were returned. */
  readonly sent: number;
  /** Duplicates that answered first. */
  readonly won: number;
  readonly denied: ReadonlyMap<HedgeDenial, number>;
}

export interface HedgeBudget {
  /** Whether operators have set a limit. */
  isEnabled(): boolean;
  recordRequest(service: string): void;
  /** Records the time to a first event or a whole answer, and so what is late for the route. */
  recordResponse(route: string, milliseconds: number): void;
  /**
   * Milliseconds after which a request of the route is late; undefined while hedging is off or too
   * few answers are known.
   */
  lateAfterMilliseconds(route: string): number | undefined;
  /** Takes one duplicate from this entry's part of the limit; false if none is left. */
  tryTake(service: string): boolean;
  /** Returns a duplicate that was not sent. */
  refund(service: string): void;
  recordWin(service: string): void;
  recordDenial(service: string, denial: HedgeDenial): void;
  counts(): readonly HedgeCount[];
}
