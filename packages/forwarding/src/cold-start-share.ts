/**
 * Limits the requests that this entry sends to each backend server to its share of the rate that
 * the server can take while cold. A server may become cold at any moment, states so late, and
 * crashes far above its cold-start rate. Every server of a service with a cold-start phase is
 * therefore always treated as cold: the rate, divided among the entries, exceeds what evenly
 * distributed load needs, and the limit does not depend on a message arriving in time.
 *
 * When there are more entries than a server takes requests per second, one request from each would
 * already be too many. Then only that many entries send to the server, chosen by rendezvous
 * hashing: all entries compute the same set without communication, and each server gets a different
 * one.
 *
 * Most of the rate is divided by traffic instead, since the load balancer in front may hand most
 * callers to one entry. The parts of all entries add up to one, so the sum stays what it was.
 */
import { createSenderRanks } from './sender-rank.js';
import type { SendingEntries } from './sender-rank.js';

export interface ColdStartShare {
  /**
   * Milliseconds until this entry may send one more request: 0 if it may send now, `Infinity` if it
   * is not among the senders of the server. `trafficShare` is the share of the service's requests
   * that this entry sends.
   */
  roomInMilliseconds(
    instanceId: string,
    coldRequestsPerSecond: number,
    trafficShare: number,
  ): number;
  /** Number of entries that may send to a server, whether or not this one is among them. */
  senderCount(coldRequestsPerSecond: number): number;
  recordSent(instanceId: string): void;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

const WINDOW_MILLISECONDS = 1000;
/**
 * Share of the possible senders of a server that is used when there are more entries than that.
 * Entries that have just started know only some of the others, each a different subset, and rank
 * themselves among the senders too often.
 */
const ALLOCATED_SHARE = 0.6;
/** The same while every entry knows all others, so that they rank themselves alike. */
const COMPLETE_ALLOCATED_SHARE = 0.9;
/** Part of a rate that is divided evenly; the rest follows the traffic. */
const EVEN_WEIGHT = 0.25;

function allowedSendersAt(
  coldRequestsPerSecond: number,
  { isComplete = false }: SendingEntries,
): number {
  const share = isComplete ? COMPLETE_ALLOCATED_SHARE : ALLOCATED_SHARE;
  return Math.max(1, Math.floor(coldRequestsPerSecond * share));
}

/** `startedAt` is when the process started; long ago if absent. */
export function createColdStartShare(
  entries: () => SendingEntries,
  now: () => number,
  startedAt = -Infinity,
): ColdStartShare {
  const sent = new Map<string, number[]>();
  const ranks = createSenderRanks();

  function sendsInWindow(instanceId: string): number[] {
    const times = sent.get(instanceId) ?? [];
    const from = now() - WINDOW_MILLISECONDS;
    while ((times[0] ?? Infinity) < from) times.shift();
    return times;
  }

  /** Requests that this entry may send to the server in one second. */
  function ownRequestsPerSecond(
    instanceId: string,
    coldRequestsPerSecond: number,
    trafficShare: number,
  ): number {
    const known = entries();
    const even = coldRequestsPerSecond / Math.max(1, known.count);
    const byTraffic = (1 - EVEN_WEIGHT) * coldRequestsPerSecond * trafficShare;
    const rank = ranks.rankAt(instanceId, known);
    const isSender = rank < allowedSendersAt(coldRequestsPerSecond, known);
    const own = even < 1 ? Math.floor(byTraffic) : Math.round(EVEN_WEIGHT * even + byTraffic);
    // An entry without traffic must be able to gain some.
    const share = isSender ? Math.max(1, own) : own;
    if (now() >= startedAt + WINDOW_MILLISECONDS) return share;
    // The requests of the process before this one still count. Half of an odd share is rounded up
    // at every second entry.
    return Math.floor(share / 2) + (rank * 2 < known.count ? share % 2 : 0);
  }

  return {
    senderCount(coldRequestsPerSecond) {
      const known = entries();
      const mayAllSend = coldRequestsPerSecond <= 0 || coldRequestsPerSecond >= known.count;
      return mayAllSend ? known.count : allowedSendersAt(coldRequestsPerSecond, known);
    },
    roomInMilliseconds(instanceId, coldRequestsPerSecond, trafficShare) {
      if (coldRequestsPerSecond <= 0) return 0;
      const share = ownRequestsPerSecond(instanceId, coldRequestsPerSecond, trafficShare);
      const settledInMilliseconds = startedAt + WINDOW_MILLISECONDS - now();
      if (share === 0) return settledInMilliseconds > 0 ? settledInMilliseconds : Infinity;
      const times = sendsInWindow(instanceId);
      if (times.length < share) return 0;
      const expiringSentAt = times[times.length - share] ?? now();
      return Math.max(1, expiringSentAt + WINDOW_MILLISECONDS - now());
    },
    recordSent(instanceId) {
      const times = sendsInWindow(instanceId);
      times.push(now());
      sent.set(instanceId, times);
    },
    keepOnly(instanceIds) {
      for (const instanceId of sent.keys()) {
        // A server can be missing from the list briefly; requests sent within the window still
        // count.
        const isIdle = sendsInWindow(instanceId).length === 0;
        if (isIdle && !instanceIds.has(instanceId)) sent.delete(instanceId);
      }
      ranks.keepOnly(instanceIds);
    },
  };
}
