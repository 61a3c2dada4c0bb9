/**
 * Tracks what this instance holds of responses that callers have not read yet, and cuts the
 * responses that `planBacklogCuts` chooses. A response is watched from its first unread byte until
 * its caller has read everything or has disconnected.
 */
import type { Logger } from '@lapisbridge/logger';

import { planBacklogCuts } from './plan-backlog-cut.js';
import type { BackloggedCaller, BacklogLimits, CutReason } from './plan-backlog-cut.js';

/** A response whose unread bytes are tracked. */
export interface TrackedResponse {
  /** Bytes that this process holds for the caller. */
  heldBytes(): number;
  /** Closes the connection and cancels what still runs for the caller. */
  cut(reason: CutReason): void;
}

export interface BacklogSubject {
  readonly requestId: string;
  /** Name of the route. */
  readonly route: string;
  /** Time without reading after which the response is cut. */
  readonly maximumUnreadMilliseconds: number;
}

export interface BacklogTracker {
  /** States whose response it is; until then, the limits of `BacklogOptions` apply. */
  identify(subject: BacklogSubject): void;
  /** Records that bytes were passed to the connection. */
  recordWritten(bytes: number): void;
  /** The caller has everything or has disconnected. */
  close(): void;
}

export interface CallerBacklog {
  track(response: TrackedResponse): BacklogTracker;
  /** Bytes held for callers that have not read them yet. */
  heldBytes(): number;
  /** Callers for which bytes are held. */
  callerCount(): number;
  /** Responses that were cut since the process started. */
  cutCounts(): ReadonlyMap<CutReason, number>;
}

export interface BacklogOptions {
  readonly limits: BacklogLimits;
  readonly logger: Logger;
  now(): number;
}

/** Longest time without reading for a response that belongs to no route. */
const DEFAULT_UNREAD_MILLISECONDS = 10_000;
const CHECK_INTERVAL_MILLISECONDS = 250;

interface Backlog {
  readonly response: TrackedResponse;
  subject: BacklogSubject | undefined;
  heldBytes: number;
  writtenBytes: number;
  readBytes: number;
  beganAt: number;
  lastReadAt: number;
}

interface ObservedCaller extends BackloggedCaller {
  readonly backlog: Backlog;
}

export function createCallerBacklog({ limits, logger, now }: BacklogOptions): CallerBacklog {
  /** The responses with unread bytes. */
  const backlogs = new Set<Backlog>();
  const cutCounts = new Map<CutReason, number>();
  /** As of the last write to or check of each response, so never below what is held. */
  let totalBytes = 0;
  let isCheckDue = false;
  let timer: NodeJS.Timeout | undefined;

  function remove(backlog: Backlog): void {
    if (!backlogs.delete(backlog)) return;
    totalBytes -= backlog.heldBytes;
    if (backlogs.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  function refresh(backlog: Backlog): void {
    const heldBytes = backlog.response.heldBytes();
    totalBytes += heldBytes - backlog.heldBytes;
    backlog.heldBytes = heldBytes;
    const readBytes = backlog.writtenBytes - heldBytes;
    if (readBytes > backlog.readBytes) backlog.lastReadAt = now();
    backlog.readBytes = readBytes;
    if (heldBytes <= 0) remove(backlog);
  }

  function observe(backlog: Backlog): ObservedCaller {
    return {
      backlog,
      heldBytes: backlog.heldBytes,
      readBytes: backlog.readBytes,
      sinceBacklogMilliseconds: now() - backlog.beganAt,
      sinceReadMilliseconds: now() - backlog.lastReadAt,
      maximumUnreadMilliseconds:
        backlog.subject?.maximumUnreadMilliseconds ?? DEFAULT_UNREAD_MILLISECONDS,
    };
  }

  function cut(caller: ObservedCaller, reason: CutReason): void {
    const { response, subject } = caller.backlog;
    cutCounts.set(reason, (cutCounts.get(reason) ?? 0) + 1);
    logger.decision({
      kind: 'cut',
      subject: subject?.requestId ?? 'none',
      choice: reason,
      reason: 'the caller reads too slowly',
      facts: {
        route: subject?.route,
        heldBytes: caller.heldBytes,
        readBytes: caller.readBytes,
        sinceBacklog: Math.round(caller.sinceBacklogMilliseconds),
        sinceRead: Math.round(caller.sinceReadMilliseconds),
        totalBytes,
        callers: backlogs.size,
      },
    });
    remove(caller.backlog);
    response.cut(reason);
  }

  function refreshAll(): void {
    for (const backlog of backlogs) refresh(backlog);
  }

  function check(): void {
    refreshAll();
    for (const { caller, reason } of planBacklogCuts([...backlogs].map(observe), limits)) {
      cut(caller, reason);
    }
  }

  /** Deferred, so that what callers read at once has left the process before. */
  function checkSoon(): void {
    if (isCheckDue) return;
    isCheckDue = true;
    setImmediate(() => {
      isCheckDue = false;
      check();
    });
  }

  function begin(backlog: Backlog, bytes: number): void {
    backlog.heldBytes = 0;
    backlog.writtenBytes = bytes;
    backlog.readBytes = 0;
    backlog.beganAt = now();
    backlog.lastReadAt = backlog.beganAt;
    backlogs.add(backlog);
    timer ??= setInterval(check, CHECK_INTERVAL_MILLISECONDS);
    timer.unref();
  }

  return {
    track(response) {
      const backlog: Backlog = {
        response,
        subject: undefined,
        heldBytes: 0,
        writtenBytes: 0,
        readBytes: 0,
        beganAt: 0,
        lastReadAt: 0,
      };
      return {
        identify(subject) {
          backlog.subject = subject;
        },
        recordWritten(bytes) {
          if (backlogs.has(backlog)) backlog.writtenBytes += bytes;
          else if (response.heldBytes() > 0) begin(backlog, bytes);
          else return;
          refresh(backlog);
          if (backlog.heldBytes > limits.connectionBytes || totalBytes > limits.totalBytes) {
            checkSoon();
          }
        },
        close: () => remove(backlog),
      };
    },
    heldBytes() {
      refreshAll();
      return totalBytes;
    },
    callerCount() {
      refreshAll();
      return backlogs.size;
    },
    cutCounts: () => cutCounts,
  };
}
