/**
 * Rate limits that backend servers state in their answers. A limit covers the requests of all
 * entries together and stands for as long as the server states it. Entries tell each other what
 * servers state; of several statements about a server the newest counts.
 */
import type { Logger } from '@lapisbridge/logger';

import { isSuccess } from './response-head.js';
import { RateLimitKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import { planRateLimitRoom } from './plan-rate-limit-room.js';
import { createSenderRanks } from './sender-rank.js';
import type { SendingEntries } from './sender-rank.js';

/** What a server stated, as entries tell it each other. */
export interface RateLimitStatement {
  readonly instanceId: string;
  /** Undefined where the server has no limit any more. */
  readonly requestsPerSecond: number | undefined;
  /** Since the answer that stated it. */
  readonly ageMilliseconds: number;
}

/** One answer, which has to be the server's own. */
export interface RateLimitedAnswer {
  readonly instanceId: string;
  readonly head: ResponseHead;
  /** Time of the request that it answers. */
  readonly sentAt: number;
}

export interface ServerRateLimits {
  /** Takes what the head of a server's answer states. */
  onAnswer(answer: RateLimitedAnswer): void;
  /** Takes what another entry tells. */
  onTold(statements: readonly RateLimitStatement[]): void;
  /** Statements for other entries, with limits that were lifted a short time ago. */
  statements(): RateLimitStatement[];
  /** Requests a second that the server takes from all entries; undefined where it has no limit. */
  limitOf(instanceId: string): number | undefined;
  /**
   * Milliseconds until this entry may send one more request to the server; 0 for now. `senders` is
   * the number of entries that may send to it.
   */
  roomIn(instanceId: string, senders: number): number;
  noteSent(instanceId: string): void;
  /** Number of servers with a limit. */
  size(): number;
  /** Requests sent to servers with a limit since the start. */
  requestsSent(): number;
  /** Forgets servers that are gone. */
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
enum Source {
  Answer = 'answer',
  Entry = 'entry',
}

interface Statement {
  readonly requestsPerSecond: number | undefined;
  readonly statedAt: number;
  /** Own requests while the limit stands, oldest first. */
  readonly sentAt: number[];
}

/** Long enough that every entry is told that a limit is lifted. */
const LIFTED_MILLISECONDS = 10_000;
/** A server may be missing from the list for a moment while the store is slow. */
const ABSENT_MILLISECONDS = 30_000;
/** Longer than the slowest regular sender waits between two requests. */
const SENT_MILLISECONDS = 15_000;
/** What is told ages on its way: a statement that differs by less is the same one. */
const AGE_STEP_MILLISECONDS = 50;

export function createServerRateLimits(options: ServerRateLimitsOptions): ServerRateLimits {
  const { logger, now } = options;
  const known = new Map<string, Statement>();
  const ranks = createSenderRanks();
  let requestsSent = 0;

  function limitOf(instanceId: string): number | undefined {
    return known.get(instanceId)?.requestsPerSecond;
  }

  function take(
    instanceId: string,
    requestsPerSecond: number | undefined,
    statedAt: number,
    source: Source,
  ): void {
    const before = known.get(instanceId);
    const sentAt = before?.sentAt ?? [];
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
          take(instanceId, rateLimit.requestsPerSecond, now(), Source.Answer);
          return;
        case RateLimitKind.None: {
          const before = known.get(instanceId);
          if (before?.requestsPerSecond === undefined) return;
          // A failure, or the answer to an earlier request, does not lift a limit.
          if (!isSuccess(head.status) || sentAt < before.statedAt) return;
          take(instanceId, undefined, now(), Source.Answer);
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
    onTold(statements) {
      for (const { instanceId, requestsPerSecond, ageMilliseconds } of statements) {
        const statedAt = now() - ageMilliseconds;
        const before = known.get(instanceId);
        if (before !== undefined && statedAt <= before.statedAt + AGE_STEP_MILLISECONDS) continue;
        if (before === undefined && requestsPerSecond === undefined) continue;
        take(instanceId, requestsPerSecond, statedAt, Source.Entry);
      }
    },
    statements() {
      const told: RateLimitStatement[] = [];
      for (const [instanceId, { requestsPerSecond, statedAt }] of known) {
        const ageMilliseconds = now() - statedAt;
        if (requestsPerSecond === undefined && ageMilliseconds > LIFTED_MILLISECONDS) {
          known.delete(instanceId);
        } else {
          told.push({ instanceId, requestsPerSecond, ageMilliseconds });
        }
      }
      return told;
    },
    limitOf,
    roomIn(instanceId, senders) {
      const statement = known.get(instanceId);
      if (statement?.requestsPerSecond === undefined) return 0;
      const { requestsPerSecond, statedAt, sentAt } = statement;
      return planRateLimitRoom({
        requestsPerSecond,
        rank: ranks.rankAt(instanceId, options.entries()),
        senders,
        sentAt,
        statedAt,
        now: now(),
      });
    },
    noteSent(instanceId) {
      const statement = known.get(instanceId);
      if (statement?.requestsPerSecond === undefined) return;
      const { sentAt } = statement;
      sentAt.push(now());
      while ((sentAt[0] ?? Infinity) < now() - SENT_MILLISECONDS) sentAt.shift();
      requestsSent += 1;
    },
    size() {
      let limited = 0;
      for (const { requestsPerSecond } of known.values()) {
        if (requestsPerSecond !== undefined) limited += 1;
      }
      return limited;
    },
    requestsSent: () => requestsSent,
    keepOnly(instanceIds) {
      for (const [instanceId, { statedAt }] of known) {
        if (instanceIds.has(instanceId) || now() - statedAt < ABSENT_MILLISECONDS) continue;
        known.delete(instanceId);
      }
      ranks.keepOnly(instanceIds);
    },
  };
}
