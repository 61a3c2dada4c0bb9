/**
 * Counts what backend servers get while they state a rate limit, from the entries that were told.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface RateLimitWatch {
  /** A request of an entry arrived; `rateLimit` is what the server states now. */
  onArrival(server: string, entry: string, rateLimit: number | undefined): void;
  /** An answer to the entry states the limit. */
  onStated(server: string, entry: string): void;
  /** An entry was killed, stopped or paused, and may not know what it was told. */
  excuse(entry: string): void;
}

interface LimitedServer {
  readonly limitedSince: number;
  readonly toldAt: Map<string, number>;
  readonly arrivals: number[];
}

/** Entries have this long to agree on a limit, and each one to act on what it was told. */
const CONTACT_MILLISECONDS = 3000;
const REACTION_MILLISECONDS = 500;
const WINDOW_MILLISECONDS = 4000;
const OVERSHOOT = 1.5;
const SLACK_REQUESTS = 5;

export function createRateLimitWatch(history: History, now: () => number): RateLimitWatch {
  const servers = new Map<string, LimitedServer>();

  return {
    onArrival(server, entry, rateLimit) {
      if (rateLimit === undefined) {
        servers.delete(server);
        return;
      }
      const limited = servers.get(server);
      if (limited === undefined) return;
      const { arrivals, limitedSince } = limited;
      if ((limited.toldAt.get(entry) ?? Infinity) + REACTION_MILLISECONDS > now()) return;
      arrivals.push(now());
      while ((arrivals[0] ?? Infinity) < now() - WINDOW_MILLISECONDS) arrivals.shift();
      if (now() - limitedSince < CONTACT_MILLISECONDS) return;
      history.record({
        kind: EventKind.RateLimitedLoad,
        instanceId: server,
        requests: arrivals.length,
        allowed: (OVERSHOOT * rateLimit * WINDOW_MILLISECONDS) / 1000 + SLACK_REQUESTS,
      });
    },
    onStated(server, entry) {
      let limited = servers.get(server);
      if (limited === undefined) {
        limited = { limitedSince: now(), toldAt: new Map(), arrivals: [] };
        servers.set(server, limited);
      }
      if (!limited.toldAt.has(entry)) limited.toldAt.set(entry, now());
    },
    excuse(entry) {
      for (const { toldAt } of servers.values()) toldAt.delete(entry);
    },
  };
}
