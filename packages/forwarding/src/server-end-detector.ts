/**
 * Detects that a backend server has ended while it had requests of this entry, and which prompt
 * parts those requests shared with others. A lost connection alone does not show it: links are cut,
 * and answers are lost or truncated. An end counts once the server refuses connections, or another
 * process is listed at its address.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { RequestDigest } from '@lapisbridge/crash-attribution';
import type { Logger } from '@lapisbridge/logger';

import { ProbeResult } from './connection-probe.js';
import type { ConnectionProbe } from './connection-probe.js';

/** The end of a backend server that was not planned. */
export interface ServerEnd {
  readonly server: BackendServer;
  /** When the first connection was lost, on the clock of `now`. */
  readonly endedAt: number;
  /** Requests of this entry that were lost with it. */
  readonly lostRequests: number;
  /** Shared prompt parts of those requests of whose answers too little had arrived. */
  readonly suspects: readonly string[];
  /** Digests of the lost requests. */
  readonly requests: readonly string[];
}

/** What an attempt asks of its server. */
export interface AttemptContent {
  readonly sharedParts: readonly string[];
  readonly digest: RequestDigest;
}

/** What an attempt reports while it is at a server. */
export interface WatchedAttempt {
  /** The server goes on writing the answer: it has sent two events, or the whole answer. */
  onProgress(): void;
  onEnd(isConnectionLost: boolean): void;
}

export interface ServerEndDetector {
  /** `cancel` is called if a shared part is quarantined before the attempt makes progress. */
  watch(
    server: BackendServer,
    content: AttemptContent,
    cancel: (reason: string) => void,
  ): WatchedAttempt;
  /** Cancels the attempts with this shared part, except those that servers go on answering. */
  cancelWith(part: string): void;
  /** Checks the servers that lost connections against the newest list. */
  keepOnly(servers: ReadonlyMap<string, BackendServer>): void;
  /** Unplanned ends of servers that had requests of this entry, since the process started. */
  endedServers(): number;
}

export interface ServerEndDetectorOptions {
  readonly logger: Logger;
  readonly probe: ConnectionProbe;
  /** Called again for the same end when more requests turn out to be lost with the server. */
  onServerEnd(end: ServerEnd): void;
  /** Called with the shared parts of an attempt that a server goes on answering. */
  onProgress(sharedParts: readonly string[]): void;
  now(): number;
}

interface PendingAttempt extends AttemptContent {
  readonly cancel: (reason: string) => void;
}

interface LossRecord {
  readonly server: BackendServer;
  readonly firstLossAt: number;
  readonly suspects: Set<string>;
  readonly requests: Set<string>;
  lostRequests: number;
  hasEnded: boolean;
}

/** Connections of one server are lost within milliseconds of each other. */
const PROBE_DELAY_MILLISECONDS = 20;
/** A restarted server is listed within some seconds. */
const CONFIRMATION_MILLISECONDS = 6000;
/** Bounds what is reported of one end. */
const MAXIMUM_SUSPECTS = 32;

/** Identifies one process of a server: a restarted one may have the same id. */
export function processKeyOf({ instanceId, startedAt }: BackendServer): string {
  return startedAt === undefined ? instanceId : `${instanceId}@${startedAt}`;
}

function addressOf({ host, port }: BackendServer): string {
  return `${host}:${port}`;
}

export function createServerEndDetector(options: ServerEndDetectorOptions): ServerEndDetector {
  const { logger, now } = options;
  const losses = new Map<string, LossRecord>();
  const pending = new Set<PendingAttempt>();
  let listedServers: ReadonlyMap<string, BackendServer> = new Map();
  let endedServers = 0;

  function report({ server, firstLossAt, lostRequests, suspects, requests }: LossRecord): void {
    options.onServerEnd({
      server,
      endedAt: firstLossAt,
      lostRequests,
      suspects: [...suspects].slice(0, MAXIMUM_SUSPECTS),
      requests: [...requests].slice(0, MAXIMUM_SUSPECTS),
    });
  }

  function confirm(record: LossRecord, evidence: string): void {
    if (record.hasEnded) return;
    record.hasEnded = true;
    endedServers += 1;
    logger.info('backend server ended', {
      server: record.server.instanceId,
      evidence,
      lostRequests: record.lostRequests,
      suspects: [...record.suspects].join(','),
      requests: [...record.requests].slice(0, MAXIMUM_SUSPECTS).join(','),
      milliseconds: Math.round(now() - record.firstLossAt),
    });
    report(record);
  }

  async function probe(key: string, record: LossRecord): Promise<void> {
    const result = await options.probe(record.server);
    switch (result) {
      case ProbeResult.Refused:
        confirm(record, 'connection refused');
        return;
      case ProbeResult.Accepted:
        if (!record.hasEnded) losses.delete(key);
        return;
      case ProbeResult.Inconclusive:
        return;
      default: {
        const unreachable: never = result;
        throw new Error(String(unreachable));
      }
    }
  }

  function recordLoss(
    server: BackendServer,
    suspects: readonly string[],
    digest: RequestDigest,
  ): void {
    // A planned end may cut off requests that took too long.
    if (server.draining || listedServers.get(server.instanceId)?.draining === true) return;
    const key = processKeyOf(server);
    let record = losses.get(key);
    if (record === undefined) {
      const created: LossRecord = {
        server,
        firstLossAt: now(),
        suspects: new Set(),
        requests: new Set(),
        lostRequests: 0,
        hasEnded: false,
      };
      losses.set(key, created);
      record = created;
      setTimeout(() => void probe(key, created), PROBE_DELAY_MILLISECONDS);
    }
    record.lostRequests += 1;
    const before = record.suspects.size + record.requests.size;
    for (const part of suspects) record.suspects.add(part);
    record.requests.add(digest.full());
    const after = record.suspects.size + record.requests.size;
    if (record.hasEnded && after > before) report(record);
  }

  return {
    watch(server, { sharedParts, digest }, cancel) {
      let hasProgress = false;
      const attempt = { sharedParts, digest, cancel };
      if (sharedParts.length > 0) pending.add(attempt);
      return {
        onProgress() {
          if (hasProgress) return;
          hasProgress = true;
          pending.delete(attempt);
          options.onProgress(sharedParts);
        },
        onEnd(isConnectionLost) {
          pending.delete(attempt);
          if (isConnectionLost) recordLoss(server, hasProgress ? [] : sharedParts, digest);
        },
      };
    },
    cancelWith(part) {
      for (const { sharedParts, cancel } of [...pending]) {
        if (sharedParts.includes(part)) cancel(`prompt part ${part} is quarantined`);
      }
    },
    keepOnly(servers) {
      listedServers = servers;
      const processAt = new Map<string, string>();
      if (losses.size > 0) {
        for (const server of servers.values()) {
          processAt.set(addressOf(server), processKeyOf(server));
        }
      }
      for (const [key, record] of losses) {
        const successor = processAt.get(addressOf(record.server));
        // A server that is merely missing from the list may be cut off.
        if (successor !== undefined && successor !== key) confirm(record, 'replaced');
        if (now() - record.firstLossAt > CONFIRMATION_MILLISECONDS) losses.delete(key);
      }
    },
    endedServers: () => endedServers,
  };
}
