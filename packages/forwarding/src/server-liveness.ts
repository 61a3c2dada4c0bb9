/**
 * Tracks when each backend server was last heard from, through a report of its sidecar or bytes of
 * an answer. A process or machine that has stopped still accepts connections, so silence is the
 * only indication. How long a silence is significant follows from the other servers of the service,
 * whose reports take the same path: if most of them are silent, the servers are not at fault.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';

export interface ServerLiveness {
  /** Records a report or bytes from the server, sent `ageMilliseconds` ago. */
  recordContact(instanceId: string, ageMilliseconds?: number): void;
  /**
   * Time since the server was last heard from, or since it became known; undefined for an unknown
   * one.
   */
  silenceMilliseconds(instanceId: string): number | undefined;
  /**
   * Whether the server is silent while most servers of its service are not, so that it may be down.
   */
  isSilent(server: BackendServer): boolean;
  /** Number of servers that were silent when last checked. */
  silentServerCount(): number;
  /** Adds new servers and drops those that are no longer listed. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
}

/** Covers two reports of a sidecar, so that one lost report has no effect. */
const MINIMUM_SILENCE_LIMIT_MILLISECONDS = 400;
/** Half of the servers reported within half a reporting interval, so two reports may be lost. */
const MEDIAN_FACTOR = 4;
/**
 * The store drops servers whose own heartbeats have stopped for this long. One that is still listed
 * has only lost its sidecar and must get requests again.
 */
const STORE_LEASE_MILLISECONDS = 6000;
/** How long a computed limit is reused. */
const LIMIT_CACHE_MILLISECONDS = 50;

/**
 * Longest silence of a server that may be healthy, given the silences of all comparable servers.
 * All in milliseconds; `Infinity` without any server.
 */
export function planSilenceLimit(silences: readonly number[]): number {
  const sorted = [...silences].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)];
  if (median === undefined) return Infinity;
  return Math.max(MINIMUM_SILENCE_LIMIT_MILLISECONDS, median * MEDIAN_FACTOR);
}

interface CachedLimit {
  readonly at: number;
  readonly milliseconds: number;
}

export function createServerLiveness(now: () => number, logger: Logger): ServerLiveness {
  let known: ReadonlyMap<string, BackendServer> = new Map();
  const lastContactAt = new Map<string, number>();
  const limits = new Map<string, CachedLimit>();
  const silentSince = new Map<string, number>();

  function silenceMilliseconds(instanceId: string): number | undefined {
    const at = lastContactAt.get(instanceId);
    return at === undefined ? undefined : now() - at;
  }

  function silenceLimitOf(service: string): number {
    const limit = limits.get(service);
    if (limit !== undefined && now() - limit.at < LIMIT_CACHE_MILLISECONDS)
      return limit.milliseconds;
    const silences: number[] = [];
    for (const server of known.values()) {
      if (server.service !== service || server.groupRank === undefined) continue;
      silences.push(silenceMilliseconds(server.instanceId) ?? 0);
    }
    const milliseconds = planSilenceLimit(silences);
    limits.set(service, { at: now(), milliseconds });
    return milliseconds;
  }

  return {
    recordContact(instanceId, ageMilliseconds = 0) {
      const at = now() - ageMilliseconds;
      const before = lastContactAt.get(instanceId);
      if (before === undefined || before >= at) return;
      lastContactAt.set(instanceId, at);
      const since = silentSince.get(instanceId);
      if (since === undefined) return;
      silentSince.delete(instanceId);
      logger.info('backend server heard again', {
        server: instanceId,
        silentForMilliseconds: Math.round(at - since),
      });
    },
    silenceMilliseconds,
    isSilent({ instanceId, service, groupRank }) {
      // Only servers of lock-step groups have a sidecar; the others are silent between requests.
      if (groupRank === undefined) return false;
      const silence = silenceMilliseconds(instanceId) ?? 0;
      const limit = silenceLimitOf(service);
      const isSilent = silence > limit && silence < STORE_LEASE_MILLISECONDS;
      if (!isSilent && silentSince.delete(instanceId)) {
        logger.info('silent backend server still listed', { server: instanceId });
      }
      if (isSilent && !silentSince.has(instanceId)) {
        silentSince.set(instanceId, now() - silence);
        logger.info('backend server silent', {
          server: instanceId,
          milliseconds: Math.round(silence),
          limitMilliseconds: Math.round(limit),
        });
      }
      return isSilent;
    },
    silentServerCount: () => silentSince.size,
    keepOnly(servers) {
      known = servers;
      for (const instanceId of servers.keys()) {
        if (!lastContactAt.has(instanceId)) lastContactAt.set(instanceId, now());
      }
      for (const instanceId of lastContactAt.keys()) {
        if (servers.has(instanceId)) continue;
        lastContactAt.delete(instanceId);
        if (silentSince.delete(instanceId)) {
          logger.info('silent backend server removed', { server: instanceId });
        }
      }
    },
  };
}
