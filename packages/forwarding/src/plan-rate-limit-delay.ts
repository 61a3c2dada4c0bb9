/**
 * When this entry may send one more request to a backend server that states a rate limit. The
 * limit covers the requests of all entries together, and no entry knows in time what the others
 * send. So a few of them, the regular senders, divide the rate; the others get the server's
 * answers by word of these. While the server is not heard of, because the regular senders are
 * gone or have no request for it, each other entry may send one request in its turn, which also
 * shows whether the limit still stands. Pure.
 */
export interface RateLimitDelayInput {
  /** As the server states it. */
  readonly requestsPerSecond: number;
  /** Place of this entry among those that may send to the server, from 0. */
  readonly rank: number;
  /** Number of the entries that may send to the server. */
  readonly senders: number;
  /** Own requests to the server since it has a limit, oldest first. */
  readonly sentAt: readonly number[];
  /** When the server was last known to state the limit, to whichever entry. */
  readonly statedAt: number;
  readonly now: number;
}

/** A server that states less is still sent a request now and then: only answers lift a limit. */
const MINIMUM_REQUESTS_PER_SECOND = 0.25;
/** Regular senders may each send at once, so their number is bounded like the rate. */
const MINIMUM_REGULAR_SENDERS = 2;
/** Word of a regular sender's answer reaches all entries within this time. */
const MINIMUM_TURN_MILLISECONDS = 2000;
const REQUESTS_PER_TURN = 2;

function planRegularSenderDelay(
  rate: number,
  regularSenders: number,
  input: RateLimitDelayInput,
): number {
  const { sentAt, now } = input;
  const burst = Math.max(1, Math.floor(rate / regularSenders));
  const windowMilliseconds = ((burst * regularSenders) / rate) * 1000;
  const firstOfBurst = sentAt.at(-burst);
  return firstOfBurst === undefined ? 0 : Math.max(0, firstOfBurst + windowMilliseconds - now);
}

function planTurnDelay(rate: number, regularSenders: number, input: RateLimitDelayInput): number {
  const { rank, senders, sentAt, statedAt, now } = input;
  const turnMilliseconds = Math.max(MINIMUM_TURN_MILLISECONDS, (REQUESTS_PER_TURN * 1000) / rate);
  const cycleMilliseconds =
    Math.max(senders - regularSenders, rank - regularSenders + 1) * turnMilliseconds;
  const turnOffset = (rank - regularSenders) * turnMilliseconds;
  // The regular senders have the first turn.
  const silenceMilliseconds = now - statedAt - turnMilliseconds;
  if (silenceMilliseconds < turnOffset) return turnOffset - silenceMilliseconds;
  const sinceOwnTurnBegan = (silenceMilliseconds - turnOffset) % cycleMilliseconds;
  const sentLast = sentAt.at(-1) ?? -Infinity;
  const isOwnTurn = sinceOwnTurnBegan < turnMilliseconds && sentLast < now - sinceOwnTurnBegan;
  return isOwnTurn ? 0 : cycleMilliseconds - sinceOwnTurnBegan;
}

/** Milliseconds until one more request may be sent; 0 for now. */
export function planRateLimitDelay(input: RateLimitDelayInput): number {
  const rate = Math.max(MINIMUM_REQUESTS_PER_SECOND, input.requestsPerSecond);
  const regularSenders = Math.min(input.senders, MINIMUM_REGULAR_SENDERS + Math.floor(rate));
  return input.rank < regularSenders
    ? planRegularSenderDelay(rate, regularSenders, input)
    : planTurnDelay(rate, regularSenders, input);
}
