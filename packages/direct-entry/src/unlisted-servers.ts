/**
 * Puts lists of backend servers in use. After an outage of the store a list may lack live servers
 * whose rows expired; they stay in use until a list that was read late enough still lacks them.
 */
import { dropReplacedServers, retainExpiredServers } from '@lapisbridge/catalog';
import type { Catalog, ServerList } from '@lapisbridge/catalog';
import type { MonotonicClock } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import { createStoreOutageDetector, MINIMUM_OUTAGE_MILLISECONDS } from './store-outage.js';

export interface UnlistedServersOptions {
  /** Receives the servers in use. */
  readonly catalog: Catalog;
  readonly logger: Logger;
  readonly now: MonotonicClock;
  /** Time within which a server that leaves must be unused. */
  drainingBoundMilliseconds(): number;
  /** Local time as of which the store has confirmed this entry's list; `-Infinity` if it has not. */
  completeAt(): number;
  /** Reads the list as soon as possible. */
  refresh(): void;
}

/** Backend servers that the list lacks. */
export interface UnlistedServers {
  start(): void;
  /** Puts a list in use, with servers whose rows may have expired. */
  apply(list: ServerList): void;
  /** Records a failed call to the store by the time at which it was made. */
  onCallFailed(requestedAt: number): void;
  /** Records that the store confirmed this entry's list or that of another one. */
  onConfirmed(confirmedAt: number): void;
  /** Records the earliest return of the store after an outage, as another entry found. */
  onPeerOutageEnd(returnedAt: number): void;
  /** Earliest return of the store after the last outage; `-Infinity` if none is known. */
  storeReturnedAt(): number;
  /** Drops the servers that are gone according to the current list. */
  review(): void;
  /** Servers in use that the list lacks. */
  count(): number;
}

const CHECK_INTERVAL_MILLISECONDS = 500;
/** Longer gaps between two checks show that the process was paused. */
const PAUSE_MILLISECONDS = 1500;
/** Timers may fire up to a millisecond early by the monotonic clock. */
const TIMER_TOLERANCE_MILLISECONDS = 1;
/** Most instance ids in one log line. */
const MAXIMUM_LOGGED_SERVERS = 20;

/** Makes no calls and starts no timers until `start` or `apply`. */
export function createUnlistedServers(options: UnlistedServersOptions): UnlistedServers {
  const { catalog, logger, now } = options;
  let currentList: ServerList | undefined;
  let retained: readonly string[] = [];
  let retainedSince = -Infinity;
  let checkedAt = now();
  let refreshTimer: NodeJS.Timeout | undefined;
  const outages = createStoreOutageDetector({
    startedAt: now(),
    drainingBoundMilliseconds: options.drainingBoundMilliseconds,
    onSilenceEnd({ milliseconds, returnedAt, retainUntil }) {
      const retainFor = Math.max(0, retainUntil - now());
      clearTimeout(refreshTimer);
      refreshTimer = setTimeout(refreshIfDue, retainFor + TIMER_TOLERANCE_MILLISECONDS);
      if (returnedAt === undefined) return;
      logger.info('store outage assumed', {
        silence: Math.round(milliseconds),
        sinceReturn: Math.round(now() - returnedAt),
        retainFor: Math.round(retainFor),
      });
    },
  });

  function refreshIfDue(): void {
    if (retained.length > 0 && now() >= outages.retainUntil()) options.refresh();
  }

  /** A paused process cannot tell whether the store was available meanwhile. */
  function detectPause(): void {
    if (now() - checkedAt > PAUSE_MILLISECONDS) outages.onUnavailable(now());
    checkedAt = now();
  }

  /** A list without a recent confirmation may have been read during or after an outage. */
  function isListComplete(): boolean {
    const completeAt = options.completeAt();
    const isConfirmed = now() - completeAt < MINIMUM_OUTAGE_MILLISECONDS;
    return isConfirmed && completeAt >= outages.retainUntil();
  }

  function setRetained(instanceIds: readonly string[]): void {
    const dropped = retained.filter((instanceId) => !instanceIds.includes(instanceId));
    const hasChanged = dropped.length > 0 || instanceIds.length > retained.length;
    if (retained.length === 0) retainedSince = now();
    retained = instanceIds;
    if (!hasChanged) return;
    logger.info('unlisted servers', {
      retained: retained.length,
      dropped: dropped.length,
      servers: [...retained, ...dropped].slice(0, MAXIMUM_LOGGED_SERVERS),
      milliseconds: Math.round(now() - retainedSince),
    });
  }

  function apply(list: ServerList): void {
    currentList = list;
    const servers = retainExpiredServers({
      before: catalog.servers().servers,
      listed: dropReplacedServers(list.servers),
      isIncomplete: !isListComplete(),
    });
    catalog.replaceServers({ revision: list.revision, servers });
    setRetained([...servers.keys()].filter((instanceId) => !list.servers.has(instanceId)));
  }

  return {
    start() {
      setInterval(() => {
        detectPause();
        refreshIfDue();
      }, CHECK_INTERVAL_MILLISECONDS);
    },
    apply,
    onCallFailed: (requestedAt) => outages.onUnavailable(requestedAt),
    onConfirmed(confirmedAt) {
      detectPause();
      outages.onConfirmed(confirmedAt);
    },
    onPeerOutageEnd: outages.onPeerOutageEnd,
    storeReturnedAt: outages.returnedAt,
    review() {
      if (retained.length > 0 && currentList !== undefined && isListComplete()) apply(currentList);
    },
    count: () => retained.length,
  };
}
