/**
 * Backoffs that backend servers ask for: with a 503, a server may say for how long it wants no
 * further request from this entry. A backoff concerns the entry that was told, and no other.
 */
import type { Logger } from '@lapisbridge/logger';

import { RetryAfterKind } from './caller-protocol.js';
import type { AnswerHead } from './caller-protocol.js';
import type { ActiveStatement } from './active-statement.js';

export interface ServerBackoffs {
  /** Takes what a server's answer states; the answer has to be the server's own. */
  onAnswer(instanceId: string, head: AnswerHead): void;
  /** Milliseconds until the server may be sent to again; 0 for now. */
  remainingMilliseconds(instanceId: string): number;
  recordSent(instanceId: string): void;
  /** Servers that back off now. */
  listActive(): ActiveStatement[];
  /** Requests sent to servers while they backed off, since the start. */
  requestsSent(): number;
  /** Forgets backoffs that are over, also those of servers that are not asked about any more. */
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
        case RetryAfterKind.Unreadable:
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
