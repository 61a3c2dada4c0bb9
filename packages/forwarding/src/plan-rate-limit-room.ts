/**
 * When this entry may send one more request to a backend server that states a rate limit. The
 * limit covers the requests of all entries together, and no entry knows in time what the others
 * send. So a few of them, the regular senders, divide the rate; the others get the server's
 * answers by word of these. While the server is not heard of, because the regular senders are
 * gone or have no request for it, each other entry may send one request in its turn, which also
 * shows whether the limit still stands. Pure.
 */
export interface RateLimitRoomInput {
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
const LOWEST_REQUESTS_PER_SECOND = 0.25;
/** Regular senders may each send at once, so their number is bounded like the rate. */
const FEWEST_REGULAR_SENDERS = 2;
/** Word of a regular sender's answer reaches all entries within this time. */
const SHORTEST_TURN_MILLISECONDS = 2000;
const REQUESTS_PER_TURN = 2;

function planRegularRoom(rate: number, regular: number, input: RateLimitRoomInput): number {
  const { sentAt, now } = input;
  const burst = Math.max(1, Math.floor(rate / regular));
  const windowMilliseconds = ((burst * regular) / rate) * 1000;
  const freeing = sentAt.at(-burst);
  return freeing === undefined ? 0 : Math.max(0, freeing + windowMilliseconds - now);
}

function planTurnRoom(rate: number, regular: number, input: RateLimitRoomInput): number {
  const { rank, senders, sentAt, statedAt, now } = input;
  const turn = Math.max(SHORTEST_TURN_MILLISECONDS, (REQUESTS_PER_TURN * 1000) / rate);
  const cycle = Math.max(senders - regular, rank - regular + 1) * turn;
  const turnBegins = (rank - regular) * turn;
  // The regular senders have the first turn.
  const unheard = now - statedAt - turn;
  if (unheard < turnBegins) return turnBegins - unheard;
  const sinceTurnBegan = (unheard - turnBegins) % cycle;
  const sentLast = sentAt.at(-1) ?? -Infinity;
  const isOwnTurn = sinceTurnBegan < turn && sentLast < now - sinceTurnBegan;
  return isOwnTurn ? 0 : cycle - sinceTurnBegan;
}

/** Milliseconds until one more request may be sent; 0 for now. */
export function planRateLimitRoom(input: RateLimitRoomInput): number {
  const rate = Math.max(LOWEST_REQUESTS_PER_SECOND, input.requestsPerSecond);
  const regular = Math.min(input.senders, FEWEST_REGULAR_SENDERS + Math.floor(rate));
  return input.rank < regular
    ? planRegularRoom(rate, regular, input)
    : planTurnRoom(rate, regular, input);
}
