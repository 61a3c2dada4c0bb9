/**
 * Computes when this entry may send one more request to a backend server that states a rate limit.
 * The limit covers the requests of all entries together, and an entry does not learn in time what
 * the others send. A few entries, the regular senders, therefore divide the rate among themselves
 * and relay the server's statements to the others. While nothing is heard from the server, because
 * the regular senders are gone or have no requests for it, the other entries take turns at sending
 * one request each, which also shows whether the limit still applies. Pure.
 */
export interface RateLimitDelayInput {
  /** The limit as the server states it. */
  readonly requestsPerSecond: number;
  /** Rank of this entry among the entries that may send to the server, from 0. */
  readonly rank: number;
  /** Number of the entries that may send to the server. */
  readonly senders: number;
  /** Times of this entry's requests to the server since it has a limit, oldest first. */
  readonly sentAt: readonly number[];
  /** When the server last stated the limit to any entry, as far as this entry knows. */
  readonly statedAt: number;
  readonly now: number;
}

/**
 * Smallest rate that is assumed. A server that states less still gets a request from time to time,
 * because only an answer can lift a limit.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.25;
/**
 * Each regular sender may send one request at once, so their number is bounded in proportion to the
 * rate: this minimum plus the rate.
 */
const MINIMUM_REGULAR_SENDERS = 2;
/** Shortest turn: within this time a statement received by a regular sender reaches all entries. */
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

/** Milliseconds until this entry may send one more request; 0 if it may send now. */
export function planRateLimitDelay(input: RateLimitDelayInput): number {
  const rate = Math.max(MINIMUM_REQUESTS_PER_SECOND, input.requestsPerSecond);
  const regularSenders = Math.min(input.senders, MINIMUM_REGULAR_SENDERS + Math.floor(rate));
  return input.rank < regularSenders
    ? planRegularSenderDelay(rate, regularSenders, input)
    : planTurnDelay(rate, regularSenders, input);
}
