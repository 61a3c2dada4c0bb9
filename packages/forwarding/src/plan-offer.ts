/**
 * Whether a stream is offered to a server whose slots are taken, or its caller told to come back.
 * Made for the seconds after an outage and for bursts, in which more streams come than slots: the
 * streams that waited fill every slot at once, and each one that queues behind them makes all
 * that come later wait as long. After one outage of six seconds every first event was 0.8 to 1.9 s
 * late for another six, although the servers did more work a second than came. A caller that is
 * told to come back is late too, but alone. Pure.
 */
import type { Route } from '@lapisbridge/catalog';

import { callerPatience, FIRST_EVENT_MILLISECONDS } from './plan-wait.js';

/**
 * Streams that may wait at a server, as a share of its slots. At a share of 0.15 one waits for a
 * seventh of a stream's length, 0.25 s, and still has its first event in time.
 */
const FIRST_WAITING_SHARE = 0.15;
/** Callers that have come back do not come again: they may wait as long as they stay. */
const RETURNED_WAITING_SHARE = 0.75;

export interface OfferInput {
  readonly route: Route;
  readonly slots: number;
  /** Streams at the server, with what other entries may have sent since it reported. */
  readonly expectedStreams: number;
  /** Age of that report in milliseconds; undefined where there is none. */
  readonly reportAge: number | undefined;
  /** Whether the caller has had events. */
  readonly hasBegun: boolean;
  readonly hasComeBack: boolean;
  /** Since the request arrived, or since its caller's last event. */
  readonly silenceMilliseconds: number;
}

/**
 * Reports older than this say too little: what others may have sent since is a guess that grows
 * with every own request, and callers would be told to come back while servers stand empty. Two
 * reports of a group of 63 ranks, so that a lost one changes nothing.
 */
const LONGEST_REPORT_AGE_MILLISECONDS = 700;

/** Whether the server can begin the stream in time for its caller, as far as this entry knows. */
export function canOffer(input: OfferInput): boolean {
  // Elsewhere it would begin anew, so any place in a queue is better than none.
  if (input.hasBegun) return true;
  const { reportAge } = input;
  if (reportAge === undefined || reportAge > LONGEST_REPORT_AGE_MILLISECONDS) return true;
  const patience = callerPatience(input.route) - FIRST_EVENT_MILLISECONDS;
  const left = Math.max(0, 1 - input.silenceMilliseconds / patience);
  const share = input.hasComeBack ? RETURNED_WAITING_SHARE * left : FIRST_WAITING_SHARE;
  return input.expectedStreams + 1 <= input.slots * (1 + share);
}

/** Time after which reports tell of room that they did not show before. */
const REPORT_MILLISECONDS = 170;
/** A caller at its first try is kept for two reports; then its place is free for the next one. */
const FIRST_LONGEST_MILLISECONDS = 300;

export type CrowdWaitInput = Pick<OfferInput, 'route' | 'hasComeBack' | 'silenceMilliseconds'> & {
  readonly remainingMilliseconds: number;
};

/** Milliseconds until the servers are looked at again; 0 when the stream is to be refused now. */
export function planCrowdWait(input: CrowdWaitInput): number {
  const { silenceMilliseconds: silence, remainingMilliseconds: remaining } = input;
  const patience = Math.min(callerPatience(input.route) - silence, remaining);
  if (patience < REPORT_MILLISECONDS + FIRST_EVENT_MILLISECONDS) return 0;
  if (!input.hasComeBack && silence + REPORT_MILLISECONDS > FIRST_LONGEST_MILLISECONDS) return 0;
  return REPORT_MILLISECONDS;
}
