/**
 * Finds backend servers that have fallen silent with requests. Silence is no proof of an end: a
 * server may be slow, stopped for a moment, or cut off. It counts only while others of the service
 * are heard. Only requests that were at the server when it was last heard, or that were the first
 * ones after that, can be the cause.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { RequestDigest } from '@lapisbridge/crash-attribution';

import { AttemptEnd } from './attempt-end.js';

/** An attempt that is at a server. */
export interface PendingSend {
  readonly server: BackendServer;
  /** Identifies the process that takes requests at the server. */
  readonly process: string;
  readonly digest: RequestDigest;
  readonly generation: number;
  readonly sentAt: number;
}

export interface SilenceWatch {
  onSend(attempt: Omit<PendingSend, 'sentAt'>): PendingSend;
  /** Bytes of any answer have arrived from the server. */
  onContact(server: BackendServer): void;
  /** The attempt is not read for a while; a later `onSend` watches it again. */
  onPause(sent: PendingSend): void;
  onEnd(sent: PendingSend, end: AttemptEnd): void;
  /** Drops the state of servers that are no longer listed. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
  /** Another process is listed at the address of the server. */
  onReplaced(server: BackendServer): void;
  /** The servers that have attempts or have left some without an answer. */
  watchedServers(): readonly BackendServer[];
}

export interface SilenceWatchOptions {
  /**
   * Called once for each silence, with the requests that may be its cause, oldest first.
   * `isReplaced` tells that the server has ended.
   */
  onSilent(server: BackendServer, sends: readonly PendingSend[], isReplaced: boolean): void;
  /** Whether the rank of a lock-step group is silent while the others are not. */
  isRankSilent(server: BackendServer): boolean;
  now(): number;
}

/** Shorter than callers wait for the next event, so that others know before callers retry. */
const SILENCE_MILLISECONDS = 600;
const CHECK_MILLISECONDS = 100;
/** Requests sent so soon after the first one may have arrived before it ended the server. */
const CONCURRENT_MILLISECONDS = 50;

/** A server that has ended is replaced within some seconds. */
const REPLACEMENT_MILLISECONDS = 10_000;

interface WatchedServer {
  readonly server: BackendServer;
  readonly pending: Set<PendingSend>;
  /** Cancelled attempts since the server was last heard. */
  readonly unanswered: Set<PendingSend>;
  lastContactAt: number;
  isReported: boolean;
}

export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
  const { now } = options;
  const watchedServers = new Map<string, WatchedServer>();
  const lastContactByService = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;

  function check(): void {
    let count = 0;
    for (const watched of watchedServers.values()) {
      checkServer(watched);
      removeExpired(watched);
      count += watched.pending.size + watched.unanswered.size;
    }
    if (count > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  /** Since when the server is silent with requests; undefined if it has none. */
  function silentSinceOf({
    pending,
    unanswered,
    lastContactAt,
  }: WatchedServer): number | undefined {
    const sentAt = [...unanswered, ...pending].map((sent) => sent.sentAt);
    return sentAt.length === 0 ? undefined : Math.max(lastContactAt, Math.min(...sentAt));
  }

  /** Keeps only what a report needs, since the content of a request may be large. */
  function isPossibleCause(watched: WatchedServer, { sentAt }: PendingSend): boolean {
    const silentSince = silentSinceOf(watched);
    if (silentSince === undefined || sentAt < watched.lastContactAt) return false;
    return sentAt <= silentSince + CONCURRENT_MILLISECONDS;
  }

  function report(watched: WatchedServer, silentSince: number, isReplaced: boolean): void {
    const sends = [...watched.unanswered, ...watched.pending].filter(
      ({ sentAt }) => sentAt <= silentSince + CONCURRENT_MILLISECONDS,
    );
    options.onSilent(watched.server, sends, isReplaced);
  }

  function checkServer(watched: WatchedServer): void {
    if (watched.isReported || watched.pending.size === 0) return;
    const silentSince = silentSinceOf(watched);
    if (silentSince === undefined || !isSilent(watched.server, silentSince)) return;
    watched.isReported = true;
    report(watched, silentSince, false);
  }

  /**
   * A server that closes a connection after a silence has been started anew meanwhile. Ranks also
   * close connections once they have waited for another rank in vain.
   */
  function checkLoss(watched: WatchedServer): void {
    const silentSince = silentSinceOf(watched);
    if (silentSince === undefined || watched.server.groupRank !== undefined) return;
    if (now() - silentSince >= SILENCE_MILLISECONDS) report(watched, silentSince, true);
  }

  function removeExpired({ unanswered }: WatchedServer): void {
    for (const sent of unanswered) {
      if (now() - sent.sentAt > REPLACEMENT_MILLISECONDS) unanswered.delete(sent);
    }
  }

  function isSilent(server: BackendServer, silentSince: number): boolean {
    // While ranks wait for each other, the reports of their sidecars tell which one is silent.
    if (server.groupRank !== undefined) return options.isRankSilent(server);
    if (now() - silentSince < SILENCE_MILLISECONDS) return false;
    // Otherwise the entry or the whole service may be cut off.
    return (lastContactByService.get(server.service) ?? -Infinity) > silentSince;
  }

  return {
    onSend(attempt) {
      const { server } = attempt;
      const { instanceId, startedAt } = server;
      let watched = watchedServers.get(instanceId);
      if (watched === undefined || watched.server.startedAt !== startedAt) {
        watched = {
          server,
          pending: new Set(),
          unanswered: new Set(),
          lastContactAt: -Infinity,
          isReported: false,
        };
        watchedServers.set(instanceId, watched);
      }
      const sent = { ...attempt, sentAt: now() };
      watched.pending.add(sent);
      timer ??= setInterval(check, CHECK_MILLISECONDS);
      timer.unref();
      return sent;
    },
    onContact({ instanceId, service, startedAt }) {
      lastContactByService.set(service, now());
      const watched = watchedServers.get(instanceId);
      if (watched === undefined || watched.server.startedAt !== startedAt) return;
      watched.lastContactAt = now();
      watched.isReported = false;
      watched.unanswered.clear();
    },
    onPause(sent) {
      watchedServers.get(sent.server.instanceId)?.pending.delete(sent);
    },
    onEnd(sent, end) {
      const watched = watchedServers.get(sent.server.instanceId);
      if (watched === undefined || !watched.pending.has(sent)) return;
      switch (end) {
        case AttemptEnd.ConnectionLost:
          checkLoss(watched);
          break;
        case AttemptEnd.Cancelled:
          checkServer(watched);
          // The server may be found to have ended later.
          if (isPossibleCause(watched, sent)) watched.unanswered.add(sent);
          break;
        case AttemptEnd.Other:
          break;
        default: {
          const unreachable: never = end;
          throw new Error(String(unreachable));
        }
      }
      watched.pending.delete(sent);
    },
    keepOnly(servers) {
      for (const [instanceId, { pending, unanswered }] of watchedServers) {
        if (servers.has(instanceId) || pending.size > 0 || unanswered.size > 0) continue;
        watchedServers.delete(instanceId);
      }
    },
    onReplaced({ instanceId }) {
      const watched = watchedServers.get(instanceId);
      if (watched === undefined) return;
      watchedServers.delete(instanceId);
      removeExpired(watched);
      const silentSince = silentSinceOf(watched);
      if (silentSince !== undefined) report(watched, silentSince, true);
    },
    watchedServers() {
      const servers: BackendServer[] = [];
      for (const { server, pending, unanswered } of watchedServers.values()) {
        if (pending.size > 0 || unanswered.size > 0) servers.push(server);
      }
      return servers;
    },
  };
}
