/**
 * What backend servers state of themselves in their answers, and what follows from it for the
 * choice of a server: rate limits, backoffs and departures. Every way of sending a request asks
 * here, and every answer passes here.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import { isFromAddressedServer } from './response-head.js';
import type { ResponseHead } from './caller-protocol.js';
import type { ServerBackoffs } from './server-backoffs.js';
import type { ServerDepartures } from './server-departures.js';
import type { ServerRateLimits } from './server-rate-limits.js';

/** One answer of a server. */
export interface StatingAnswer {
  readonly server: BackendServer;
  readonly head: ResponseHead;
  /** Id and time of the request that it answers. */
  readonly requestId: string;
  readonly sentAt: number;
}

/** What a server has stated of the requests that it takes from this entry now. */
export interface StatedAdmission {
  /** It takes none any more. */
  readonly isLeaving: boolean;
  /** Milliseconds for which it has asked to be sent nothing; 0 where it has not. */
  readonly backoffMilliseconds: number;
  /** Milliseconds until its rate limit allows one more request of this entry; 0 for now. */
  readonly roomInMilliseconds: number;
}

export interface ServerStatements {
  onAnswer(answer: StatingAnswer): void;
  noteSent(instanceId: string): void;
  /** `senders` is the number of entries that may send to the server. */
  admission(server: BackendServer, senders: number): StatedAdmission;
  /** Requests a second that the server takes from all entries; undefined where it has no limit. */
  rateLimitOf(instanceId: string): number | undefined;
  /** Forgets servers that are gone. */
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
    noteSent(instanceId) {
      rateLimits.noteSent(instanceId);
      backoffs.noteSent(instanceId);
    },
    admission(server, senders) {
      const { instanceId } = server;
      return {
        isLeaving: departures.isLeaving(server),
        backoffMilliseconds: backoffs.remainingMilliseconds(instanceId),
        roomInMilliseconds: rateLimits.roomIn(instanceId, senders),
      };
    },
    rateLimitOf: (instanceId) => rateLimits.limitOf(instanceId),
    keepOnly(servers) {
      rateLimits.keepOnly(servers);
      departures.keepOnly(servers);
      backoffs.forgetOver();
    },
  };
}
