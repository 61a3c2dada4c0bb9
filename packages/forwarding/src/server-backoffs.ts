/**
 * Backoffs requested by backend servers: with a 503, a server may state for how long it takes no
 * further request from this entry. A backoff applies only to the entry that received it.
 */
import type { Logger } from '@lapisbridge/logger';

import { RetryAfterKind } from './caller-protocol.js';
import type { ResponseHead } from './caller-protocol.js';
import type { ActiveStatement } from './active-statement.js';

export interface ServerBackoffs {
  /** Processes the head of an answer, which must come from the server itself. */
  onAnswer(instanceId: string, head: ResponseHead): void;
  /** Milliseconds until requests may be sent to the server again; 0 if they may be sent now. */
  remainingMilliseconds(instanceId: string): number;
  recordSent(instanceId: string): void;
  /** Servers that are currently backing off. */
  listActive(): ActiveStatement[];
  /** Number of requests sent to servers during their backoff since the process started. */
  requestsSent(): number;
  /** Drops expired backoffs, including those of servers that are no longer queried. */
  removeExpired(): void;
}

interface Backoff {
  readonly since: number;
  until: number;
}

const SERVICE_UNAVAILABLE = 503;

export function createServerBackoffs(now: () => number, logger: Logger): ServerBackoffs {
  const backoffs = new Map<string, Backoff>();
  let requestsSent = 0;

  function activeBackoff(instanceId: string): Backoff | undefined {
    const backoff = backoffs.get(instanceId);
    if (backoff === undefined || backoff.until > now()) return backoff;
    backoffs.delete(instanceId);
    return undefined;
  }

  return {
    onAnswer(instanceId, { status, retryAfter }) {
      if (status !== SERVICE_UNAVAILABLE) return;
      switch (retryAfter.kind) {
        case RetryAfterKind.None:
          return;
        case RetryAfterKind.Malformed:
          logger.warn('server backoff unreadable', { server: instanceId });
          return;
        case RetryAfterKind.Stated:
          break;
        default: {
          const unreachable: never = retryAfter;
          throw new Error(String(unreachable));
        }
      }
      const { milliseconds } = retryAfter;
      if (milliseconds === 0) return;
      const until = now() + milliseconds;
      const before = activeBackoff(instanceId);
      if (before !== undefined) {
        before.until = Math.max(before.until, until);
        return;
      }
      backoffs.set(instanceId, { since: now(), until });
      logger.info('server backoff', { server: instanceId, milliseconds });
    },
    remainingMilliseconds(instanceId) {
      const backoff = activeBackoff(instanceId);
      return backoff === undefined ? 0 : backoff.until - now();
    },
    recordSent(instanceId) {
      if (activeBackoff(instanceId) !== undefined) requestsSent += 1;
    },
    listActive() {
      const listed: ActiveStatement[] = [];
      for (const instanceId of [...backoffs.keys()]) {
        const backoff = activeBackoff(instanceId);
        if (backoff === undefined) continue;
        listed.push({ instanceId, ageMilliseconds: now() - backoff.since });
      }
      return listed;
    },
    requestsSent: () => requestsSent,
    removeExpired() {
      for (const instanceId of [...backoffs.keys()]) activeBackoff(instanceId);
    },
  };
}
