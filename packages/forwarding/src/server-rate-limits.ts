/**
 * Rate limits that backend servers state in their answers. A limit covers the requests of all
 * entries together and stands for as long as the server states it. Of several statements about a
 * server the newest counts.
 */
import type { Logger } from '@lapisbridge/logger';

import type { AnswerHead } from './caller-protocol.js';
import { provesNotRun } from './answer-head.js';

export interface ServerRateLimits {
  /** Takes what the head of a server's answer states; `sentAt` is when its request was sent. */
  onAnswer(instanceId: string, head: AnswerHead, sentAt: number): void;
  /** Requests a second that the server takes from all entries; undefined where it has no limit. */
  limitOf(instanceId: string): number | undefined;
  /** Counts a request that is sent to the server, for the metrics. */
  noteSent(instanceId: string): void;
  /** Number of servers with a limit. */
  size(): number;
  /** Requests sent to servers with a limit since the start. */
  requestsSent(): number;
  /** Forgets servers that are gone. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

interface Statement {
  readonly requestsPerSecond: number;
  readonly statedAt: number;
}

/** A server may be missing from the list for a moment while the store is slow. */
const ABSENT_MILLISECONDS = 30_000;

export function createServerRateLimits(logger: Logger, now: () => number): ServerRateLimits {
  const statements = new Map<string, Statement>();
  let sent = 0;

  function log(instanceId: string, requestsPerSecond: number | undefined): void {
    logger.info('server rate limit', {
      server: instanceId,
      requestsPerSecond: requestsPerSecond ?? 'none',
    });
  }

  return {
    onAnswer(instanceId, head, sentAt) {
      if (head.isMisdirected) return;
      const known = statements.get(instanceId);
      const { rateLimit } = head;
      if (rateLimit !== undefined) {
        statements.set(instanceId, { requestsPerSecond: rateLimit, statedAt: now() });
        if (known?.requestsPerSecond !== rateLimit) log(instanceId, rateLimit);
        return;
      }
      // A refusal, or the answer to an earlier request, does not lift a limit.
      if (known === undefined || provesNotRun(head) || sentAt < known.statedAt) return;
      statements.delete(instanceId);
      log(instanceId, undefined);
    },
    limitOf: (instanceId) => statements.get(instanceId)?.requestsPerSecond,
    noteSent(instanceId) {
      if (statements.has(instanceId)) sent += 1;
    },
    size: () => statements.size,
    requestsSent: () => sent,
    keepOnly(instanceIds) {
      for (const [instanceId, { statedAt }] of statements) {
        if (instanceIds.has(instanceId) || now() - statedAt < ABSENT_MILLISECONDS) continue;
        statements.delete(instanceId);
      }
    },
  };
}
