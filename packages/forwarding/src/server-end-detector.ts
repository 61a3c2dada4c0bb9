/**
 * Detects that a backend server has ended while it had requests of this entry, which requests were
 * lost with it, and which prompt parts they shared with others. A lost connection alone does not
 * show an end: links are cut, and answers are lost or truncated. An end counts once the server
 * refuses connections, or another process is listed at its address. A server that has fallen silent
 * counts as ended until it is heard again.
 */
import type { BackendServer } from '@lapisbridge/catalog';
import type { LostRequest, RequestDigest } from '@lapisbridge/crash-attribution';
import type { Logger } from '@lapisbridge/logger';

import { AttemptEnd } from './attempt-end.js';
import { ProbeResult } from './connection-probe.js';
import type { ConnectionProbe } from './connection-probe.js';
import { createSilenceWatch } from './silence-watch.js';
import type { PendingSend } from './silence-watch.js';

/** The end of a backend server that was not planned. */
export interface ServerEnd {
  readonly server: BackendServer;
  /** Identifies the process that ended. */
  readonly process: string;
  /** When the first connection was lost, on the clock of `now`. */
  readonly endedAt: number;
  /** Requests of this entry that were lost with it. */
  readonly lostRequests: number;
  /** Shared prompt parts of those requests of whose answers too little had arrived. */
  readonly suspects: readonly string[];
  /** The requests that were lost, whatever had arrived of their answers. */
  readonly requests: readonly LostRequest[];
  /** Whether the server is merely silent, so that it may be heard again. */
  readonly isSilent: boolean;
}

/** What an attempt asks of its server. */
export interface AttemptContent {
  readonly sharedParts: readonly string[];
  readonly digest: RequestDigest;
  /** See `Crash`. */
  readonly generation: number;
}

/** What an attempt reports while it is at a server. */
export interface WatchedAttempt {
  /** Bytes of the answer have arrived. */
  onContact(): void;
  /** The server goes on writing the answer: it has sent two events, or the whole answer. */
  onProgress(): void;
  /** The server has answered the request from its beginning to its end. */
  onAnswered(): void;
  /** Nothing more is read from the server, so that its silence says nothing about it. */
  onPause(): void;
  onResume(): void;
  onEnd(end: AttemptEnd): void;
  /** Resolves once it is known whether the server ended under the attempt, as far as it can be. */
  readonly settled: Promise<void>;
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
  onAnswered(digest: RequestDigest): void;
  /** Whether the rank of a lock-step group is silent while the others are not. */
  isRankSilent(server: BackendServer): boolean;
  /** The process was heard; called for each part of an answer. */
  onContact(process: string): void;
  /** Identifies the process that takes requests now at a server; see `CrashLedger`. */
  currentProcess(listedProcess: string): string;
  now(): number;
}

interface PendingAttempt {
  readonly sharedParts: readonly string[];
  readonly cancel: (reason: string) => void;
}

interface LossRecord {
  readonly server: BackendServer;
  readonly process: string;
  readonly firstLossAt: number;
  readonly suspects: Set<string>;
  /** Generations of the lost requests by digest. */
  readonly requests: Map<string, number>;
  lostRequests: number;
  hasEnded: boolean;
  /** Resolves once the server was probed. */
  readonly probed: Promise<void>;
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
  const silence = createSilenceWatch({
    onSilent: reportSilence,
    isRankSilent: options.isRankSilent,
    now,
  });

  function isLeaving({ instanceId, draining }: BackendServer): boolean {
    return draining || listedServers.get(instanceId)?.draining === true;
  }

  function report(record: LossRecord): void {
    const requests = [...record.requests].slice(0, MAXIMUM_SUSPECTS);
    options.onServerEnd({
      server: record.server,
      process: record.process,
      endedAt: record.firstLossAt,
      lostRequests: record.lostRequests,
      suspects: [...record.suspects].slice(0, MAXIMUM_SUSPECTS),
      requests: requests.map(([digest, generation]) => ({ digest, generation })),
      isSilent: false,
    });
  }

  function reportSilence(
    server: BackendServer,
    sends: readonly PendingSend[],
    isReplaced: boolean,
  ): void {
    const [first] = sends;
    if (first === undefined || isLeaving(server)) return;
    const { process } = first;
    logger.info(
      isReplaced ? 'silent backend server replaced' : 'backend server silent with requests',
      {
        server: server.instanceId,
        requests: sends.map(({ digest }) => digest.full()).join(','),
        milliseconds: Math.round(now() - first.sentAt),
      },
    );
    options.onServerEnd({
      server,
      process,
      endedAt: first.sentAt,
      lostRequests: sends.length,
      // Silence alone is too little to blame what other requests share.
      suspects: [],
      requests: sends
        .slice(0, MAXIMUM_SUSPECTS)
        .map(({ digest, generation }) => ({ digest: digest.full(), generation })),
      isSilent: !isReplaced,
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
      requests: [...record.requests.keys()].slice(0, MAXIMUM_SUSPECTS).join(','),
      milliseconds: Math.round(now() - record.firstLossAt),
    });
    report(record);
  }

  async function probe(record: LossRecord): Promise<void> {
    const result = await options.probe(record.server);
    switch (result) {
      case ProbeResult.Refused:
        confirm(record, 'connection refused');
        return;
      case ProbeResult.Accepted:
        if (!record.hasEnded) losses.delete(record.process);
        return;
      case ProbeResult.Inconclusive:
        return;
      default: {
        const unreachable: never = result;
        throw new Error(String(unreachable));
      }
    }
  }

  function createRecord(process: string, server: BackendServer): LossRecord {
    let resolveProbed: () => void = () => undefined;
    const record: LossRecord = {
      server,
      process,
      firstLossAt: now(),
      suspects: new Set(),
      requests: new Map(),
      lostRequests: 0,
      hasEnded: false,
      probed: new Promise((resolve) => {
        resolveProbed = resolve;
      }),
    };
    setTimeout(() => void probe(record).then(resolveProbed), PROBE_DELAY_MILLISECONDS);
    return record;
  }

  /** Resolves once the server was probed. */
  function recordLoss(
    process: string,
    server: BackendServer,
    suspects: readonly string[],
    { digest, generation }: AttemptContent,
  ): Promise<void> {
    // A planned end may cut off requests that took too long.
    if (isLeaving(server)) return Promise.resolve();
    const record = losses.get(process) ?? createRecord(process, server);
    losses.set(process, record);
    record.lostRequests += 1;
    const before = record.suspects.size + record.requests.size;
    for (const part of suspects) record.suspects.add(part);
    const known = record.requests.get(digest.full()) ?? Infinity;
    record.requests.set(digest.full(), Math.min(known, generation));
    const after = record.suspects.size + record.requests.size;
    if (record.hasEnded && after > before) report(record);
    return record.probed;
  }

  return {
    watch(server, content, cancel) {
      const { sharedParts, digest } = content;
      let hasProgress = false;
      let resolveSettled: () => void = () => undefined;
      const settled = new Promise<void>((resolve) => {
        resolveSettled = resolve;
      });
      const attempt = { sharedParts, cancel };
      if (sharedParts.length > 0) pending.add(attempt);
      const process = options.currentProcess(processKeyOf(server));
      const send = { server, process, digest, generation: content.generation };
      let sent = silence.onSend(send);
      let hasEnded = false;
      return {
        settled,
        onContact() {
          silence.onContact(server);
          options.onContact(process);
        },
        onProgress() {
          if (hasProgress) return;
          hasProgress = true;
          pending.delete(attempt);
          options.onProgress(sharedParts);
        },
        onAnswered: () => options.onAnswered(digest),
        onPause: () => silence.onPause(sent),
        onResume() {
          if (!hasEnded) sent = silence.onSend(send);
        },
        onEnd(end) {
          hasEnded = true;
          pending.delete(attempt);
          silence.onEnd(sent, end);
          if (end !== AttemptEnd.ConnectionLost) {
            resolveSettled();
            return;
          }
          void recordLoss(process, server, hasProgress ? [] : sharedParts, content).then(
            resolveSettled,
          );
        },
      };
    },
    cancelWith(part) {
      for (const { sharedParts, cancel } of [...pending]) {
        if (sharedParts.includes(part)) cancel(`prompt part ${part} is quarantined`);
      }
    },
    keepOnly(servers) {
      const watched = silence.watchedServers();
      const processAt = new Map<string, string>();
      if (losses.size + watched.length > 0) {
        for (const server of servers.values()) {
          processAt.set(addressOf(server), processKeyOf(server));
        }
      }
      /** A server that is merely missing from the list may be cut off. */
      const isReplaced = (server: BackendServer): boolean => {
        const successor = processAt.get(addressOf(server));
        return successor !== undefined && successor !== processKeyOf(server);
      };
      for (const server of watched) if (isReplaced(server)) silence.onReplaced(server);
      listedServers = servers;
      silence.keepOnly(servers);
      for (const [process, record] of losses) {
        if (isReplaced(record.server)) confirm(record, 'replaced');
        if (now() - record.firstLossAt > CONFIRMATION_MILLISECONDS) losses.delete(process);
      }
    },
    endedServers: () => endedServers,
  };
}
