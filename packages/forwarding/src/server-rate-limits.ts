/**
 * Rate limits that backend servers state in their answers. A limit covers the requests of all
 * entries together and applies for as long as the server states it. Entries exchange the statements
 * that they receive; the newest statement about a server wins.
 */
import type { Logger } from '@lapisbridge/logger';

import { isSuccess } from './response-head.js';
import { RateLimitKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import { planRateLimitDelay } from './plan-rate-limit-delay.js';
import { createSenderRanks } from './sender-rank.js';
import type { SendingEntries } from './sender-rank.js';

/** A server's statement as entries exchange it. */
export interface RateLimitStatement {
  readonly instanceId: string;
  /** Undefined if the server no longer has a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time since the answer that contained the statement. */
  readonly ageMilliseconds: number;
}

/** One answer, which must come from the server itself. */
export interface RateLimitedAnswer {
  readonly instanceId: string;
  readonly head: ResponseHead;
  /** When the answered request was sent. */
  readonly sentAt: number;
}

export interface ServerRateLimits {
  /** Processes the head of a server's answer. */
  onAnswer(answer: RateLimitedAnswer): void;
  /** Processes statements received from another entry. */
  onPeerStatements(statements: readonly RateLimitStatement[]): void;
  /** Statements to send to other entries, including recently lifted limits. */
  statements(): RateLimitStatement[];
  /** Requests per second that the server takes from all entries; undefined if it has no limit. */
  limitOf(instanceId: string): number | undefined;
  /**
   * Milliseconds until this entry may send one more request to the server; 0 if it may send now.
   * `senders` is the number of entries that may send to it.
   */
  roomInMilliseconds(instanceId: string, senders: number): number;
  recordSent(instanceId: string): void;
  /** Number of servers with a limit. */
  limitedServerCount(): number;
  /** Number of requests sent to servers with a limit since the process started. */
  requestsSent(): number;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(instanceIds: ReadonlyMap<string, unknown>): void;
}

export interface ServerRateLimitsOptions {
  readonly logger: Logger;
  entries(): SendingEntries;
  /** Called when a limit is stated, changed or lifted. */
  onChange(): void;
  now(): number;
}

/** How a statement reached this entry. */
enum StatementSource {
  Answer = 'answer',
  Entry = 'entry',
}

interface Statement {
  readonly requestsPerSecond: number | undefined;
  readonly statedAt: number;
  /** Times of this entry's requests while the limit applies, oldest first. */
  readonly sentAt: number[];
}

/** How long a lifted limit is sent to other entries: long enough to reach every entry. */
const LIFTED_RETENTION_MILLISECONDS = 10_000;
/**
 * How long the limit of an unlisted server is kept. A server can be missing from the list briefly
 * while the store is slow.
 */
const ABSENT_RETENTION_MILLISECONDS = 30_000;
/** How long sent requests are kept: longer than the slowest regular sender waits between two. */
const SENT_RETENTION_MILLISECONDS = 15_000;
/** Relayed statements age in transit: one that is newer by less than this is the same statement. */
const AGE_TOLERANCE_MILLISECONDS = 50;

export function createServerRateLimits(options: ServerRateLimitsOptions): ServerRateLimits {
  const { logger, now } = options;
  const known = new Map<string, Statement>();
  const ranks = createSenderRanks();
  let requestsSent = 0;

  function limitOf(instanceId: string): number | undefined {
    return known.get(instanceId)?.requestsPerSecond;
  }

  function applyStatement(
    instanceId: string,
    requestsPerSecond: number | undefined,
    statedAt: number,
    source: StatementSource,
  ): void {
    const before = known.get(instanceId);
    // What this process, or the one before it, has sent without knowing of the limit is unknown.
    const sentAt = before?.sentAt ?? [now()];
    known.set(instanceId, { requestsPerSecond, statedAt, sentAt });
    if (before?.requestsPerSecond === requestsPerSecond) return;
    logger.info('server rate limit', {
      server: instanceId,
      requestsPerSecond: requestsPerSecond ?? 'none',
      source,
    });
    options.onChange();
  }

  return {
    onAnswer({ instanceId, head, sentAt }) {
      const { rateLimit } = head;
      switch (rateLimit.kind) {
        case RateLimitKind.Stated:
          applyStatement(instanceId, rateLimit.requestsPerSecond, now(), StatementSource.Answer);
          return;
        case RateLimitKind.None: {
          const before = known.get(instanceId);
          if (before?.requestsPerSecond === undefined) return;
          // A failure, or the answer to a request sent before the statement, does not lift a limit.
          if (!isSuccess(head.status) || sentAt < before.statedAt) return;
          applyStatement(instanceId, undefined, now(), StatementSource.Answer);
          return;
        }
        case RateLimitKind.Malformed:
          logger.warn('server rate limit unreadable', { server: instanceId });
          return;
        default: {
          const unreachable: never = rateLimit;
          throw new Error(String(unreachable));
        }
      }
    },
    onPeerStatements(statements) {
      for (const { instanceId, requestsPerSecond, ageMilliseconds } of statements) {
        const statedAt = now() - ageMilliseconds;
        const before = known.get(instanceId);
        if (before !== undefined && statedAt <= before.statedAt + AGE_TOLERANCE_MILLISECONDS)
          continue;
        if (before === undefined && requestsPerSecond === undefined) continue;
        applyStatement(instanceId, requestsPerSecond, statedAt, StatementSource.Entry);
      }
    },
    statements() {
      const told: RateLimitStatement[] = [];
      for (const [instanceId, { requestsPerSecond, statedAt }] of known) {
        const ageMilliseconds = now() - statedAt;
        if (requestsPerSecond === undefined && ageMilliseconds > LIFTED_RETENTION_MILLISECONDS) {
          known.delete(instanceId);
        } else {
          told.push({ instanceId, requestsPerSecond, ageMilliseconds });
        }
      }
      return told;
    },
    limitOf,
    roomInMilliseconds(instanceId, senders) {
      const statement = known.get(instanceId);
      if (statement?.requestsPerSecond === undefined) return 0;
      const { requestsPerSecond, statedAt, sentAt } = statement;
      return planRateLimitDelay({
        requestsPerSecond,
        rank: ranks.rankAt(instanceId, options.entries()),
        senders,
        sentAt,
        statedAt,
        now: now(),
      });
    },
    recordSent(instanceId) {
      const statement = known.get(instanceId);
      if (statement?.requestsPerSecond === undefined) return;
      const { sentAt } = statement;
      sentAt.push(now());
      while ((sentAt[0] ?? Infinity) < now() - SENT_RETENTION_MILLISECONDS) sentAt.shift();
      requestsSent += 1;
    },
    limitedServerCount() {
      let limited = 0;
      for (const { requestsPerSecond } of known.values()) {
        if (requestsPerSecond !== undefined) limited += 1;
      }
      return limited;
    },
    requestsSent: () => requestsSent,
    keepOnly(instanceIds) {
      for (const [instanceId, { statedAt }] of known) {
        if (instanceIds.has(instanceId) || now() - statedAt < ABSENT_RETENTION_MILLISECONDS)
          continue;
        known.delete(instanceId);
      }
      ranks.keepOnly(instanceIds);
    },
  };
}
