/**
 * Combines what backend servers state about themselves in their answers (rate limits, backoffs and
 * departures) for the choice of a server. Every way of sending a request queries it, and every
 * answer passes through it.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import { isFromAddressedServer } from './response-head.js';
import type { ResponseHead } from './caller-protocol.js';
import type { ServerBackoffs } from './server-backoffs.js';
import type { ServerDepartures } from './server-departures.js';
import type { ServerRateLimits } from './server-rate-limits.js';

/** One answer of a server. */
export interface ServerAnswer {
  readonly server: BackendServer;
  readonly head: ResponseHead;
  /** Id of the answered request, and when it was sent. */
  readonly requestId: string;
  readonly sentAt: number;
}

/** Whether and when a server takes requests from this entry, according to its statements. */
export interface ServerAdmission {
  /** It is shutting down and takes no more requests. */
  readonly isLeaving: boolean;
  /** Remaining milliseconds of the backoff that it has requested; 0 without one. */
  readonly backoffMilliseconds: number;
  /**
   * Milliseconds until its rate limit allows one more request from this entry; 0 if it does now.
   */
  readonly roomInMilliseconds: number;
}

export interface ServerStatements {
  onAnswer(answer: ServerAnswer): void;
  recordSent(instanceId: string): void;
  /** `senders` is the number of entries that may send to the server. */
  admission(server: BackendServer, senders: number): ServerAdmission;
  /** Whether the server has stated that it is shutting down. */
  isLeaving(server: BackendServer): boolean;
  /** Requests per second that the server takes from all entries; undefined if it has no limit. */
  rateLimitOf(instanceId: string): number | undefined;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
}

export interface ServerStatementsOptions {
  readonly rateLimits: ServerRateLimits;
  readonly backoffs: ServerBackoffs;
  readonly departures: ServerDepartures;
}

export function createServerStatements(options: ServerStatementsOptions): ServerStatements {
  const { rateLimits, backoffs, departures } = options;

  return {
    onAnswer({ server, head, requestId, sentAt }) {
      if (!isFromAddressedServer(head, requestId)) return;
      const { instanceId } = server;
      rateLimits.onAnswer({ instanceId, head, sentAt });
      backoffs.onAnswer(instanceId, head);
      departures.onAnswer(server, head);
    },
    recordSent(instanceId) {
      rateLimits.recordSent(instanceId);
      backoffs.recordSent(instanceId);
    },
    admission(server, senders) {
      const { instanceId } = server;
      return {
        isLeaving: departures.isLeaving(server),
        backoffMilliseconds: backoffs.remainingMilliseconds(instanceId),
        roomInMilliseconds: rateLimits.roomInMilliseconds(instanceId, senders),
      };
    },
    isLeaving: (server) => departures.isLeaving(server),
    rateLimitOf: (instanceId) => rateLimits.limitOf(instanceId),
    keepOnly(servers) {
      rateLimits.keepOnly(servers);
      departures.keepOnly(servers);
      backoffs.removeExpired();
    },
  };
}
