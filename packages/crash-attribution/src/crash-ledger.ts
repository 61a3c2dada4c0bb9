/**
 * Keeps what one entry knows of crashed servers, and of the prompt parts and requests under
 * suspicion: its own observations and those of other entries, which it passes on. Observations only
 * ever add up, so their order and repetition do not matter.
 */
import type { Logger } from '@lapisbridge/logger';

import { createClearedParts } from './cleared-parts.js';
import type { Blame, Crash } from './crash.js';
import type {
  CauseStatement,
  CrashStatement,
  CrashStatements,
  LostRequest,
} from './crash-statements.js';
import { CLEARANCE_TIME_MILLISECONDS, planQuarantine } from './plan-quarantine.js';
import { planRequestQuarantine } from './plan-request-quarantine.js';
import { DIGEST_HEAD_LENGTH, isRequestDigest } from './request-digest.js';
import type { RequestDigest } from './request-digest.js';

/** A crash as an entry observes it. */
export interface ObservedCrash {
  /** Identifies the process that ended. */
  readonly server: string;
  readonly endedAt: number;
  /** Shared prompt parts of the requests that were lost unanswered. */
  readonly suspects: readonly string[];
  readonly requests: readonly LostRequest[];
  /** Whether its silence is all that shows the end. */
  readonly isSilent: boolean;
}

export interface CrashLedger {
  /** Records that a server goes on answering a request with these shared parts. */
  recordAnswered(sharedParts: readonly string[]): void;
  /** Records a crash that this entry observed; more suspects of a known one are added. */
  recordCrash(crash: ObservedCrash): void;
  /** Adds what another entry or the store knows; `source` is for the log. */
  merge(statements: CrashStatements, source: string): void;
  /** What is to be passed on: everything, or only what is recent enough to be news. */
  statements(scope: StatementScope): CrashStatements;
  /** The first of the parts, or else the request, if it is quarantined; undefined otherwise. */
  findQuarantined(sharedParts: readonly string[], request?: RequestDigest): string | undefined;
  /** Records that a server has answered the whole request, so that it does not end servers. */
  recordRequestAnswered(request: RequestDigest): void;
  /** Highest generation of the attempts at the request that were lost with servers; 0 for none. */
  generationOf(request: RequestDigest): number;
  /**
   * Identifies the process that takes requests now at a server whose process is listed as `server`:
   * another one may have started there before it is listed.
   */
  currentProcess(server: string): string;
  /** Records that a server was heard; it has not ended if only its silence showed that. */
  recordSurvivor(server: string): void;
  /** Crashes of this entry's own that no other was told yet, for an announcement now. */
  takeUnannounced(): CrashStatements | undefined;
  /** Resolves when the next part or request is quarantined. */
  nextQuarantine(): Promise<void>;
  /** Ends the quarantine of a part or request, and forgets the crashes that led to it. */
  release(cause: string): void;
  /** Quarantined parts, oldest first. */
  quarantinedParts(): readonly string[];
  /** Digests of the quarantined requests, oldest first. */
  quarantinedRequests(): readonly string[];
}

export enum StatementScope {
  All = 'all',
  Recent = 'recent',
}

export interface CrashLedgerOptions {
  readonly logger: Logger;
  /** Called when this entry knows something that others may not know. */
  onChange(): void;
  /** Called once for each part or request that is quarantined. */
  onQuarantine(cause: string): void;
  now(): number;
}

interface KnownCrash extends Crash {
  /** Who reported it first. */
  readonly source: string;
  readonly suspects: Set<string>;
  readonly requests: Map<string, number>;
  isSilent: boolean;
  hasSurvived: boolean;
}

/** How long a crash counts as evidence, and an answered request clears its parts. */
const EVIDENCE_MILLISECONDS = 600_000;
/** Source of this entry's own observations. */
const OWN_SOURCE = 'this entry';
const PART_QUARANTINE_MILLISECONDS = 24 * 3_600_000;
/** A request that was merely unlucky is served again soon. */
const REQUEST_QUARANTINE_MILLISECONDS = EVIDENCE_MILLISECONDS;
/** Long enough to reach every entry through relays and lost messages. */
const RECENT_MILLISECONDS = 15_000;
/** Bounds on what callers can make an entry keep and send. */
const MAXIMUM_CRASHES = 64;
const MAXIMUM_SUSPECTS = 32;
const MAXIMUM_REQUESTS = 16;
const MAXIMUM_QUARANTINED = 256;
const MAXIMUM_RELEASED = 256;
const MAXIMUM_RECENT_CRASHES = 8;
const MAXIMUM_RECENT_CAUSES = 16;
/** A relayed statement is the same one if it differs by less. */
const RELAY_TOLERANCE_MILLISECONDS = 1000;

/** How long a prompt part or a request stays quarantined, in milliseconds. */
export function quarantineMilliseconds(cause: string): number {
  return isRequestDigest(cause) ? REQUEST_QUARANTINE_MILLISECONDS : PART_QUARANTINE_MILLISECONDS;
}

/** Removes the entries that were added first until so many are left. */
function limitSize<Value>(map: Map<string, Value>, maximum: number): void {
  for (const key of map.keys()) {
    if (map.size <= maximum) return;
    map.delete(key);
  }
}

export function createCrashLedger(options: CrashLedgerOptions): CrashLedger {
  const { logger, now } = options;
  const answered = createClearedParts();
  const crashes = new Map<string, KnownCrash>();
  /** Parts and requests of known crashes that are known to be sound, whoever saw it. */
  const clearedAt = new Map<string, number>();
  const quarantinedAt = new Map<string, number>();
  const releasedAt = new Map<string, number>();
  /** When suspects are judged again, or a quarantine lapses, without further news. */
  let evaluateAt = Infinity;
  let resolveQuarantine: () => void = () => undefined;
  let pendingQuarantine = nextPromise();
  /** Whether there is something that others may not know. */
  let hasNews = false;
  /** Servers of this entry's own crashes whose requests were not announced yet. */
  const unannounced = new Set<string>();
  /** Heads of the requests that were lost with servers or are quarantined, and their digests. */
  let listedRequests: ReadonlyMap<string, readonly string[]> | undefined;

  function nextPromise(): Promise<void> {
    return new Promise((resolve) => {
      resolveQuarantine = resolve;
    });
  }

  function announceQuarantine(): void {
    resolveQuarantine();
    pendingQuarantine = nextPromise();
  }

  function clearanceOf(cause: string): number | undefined {
    const own = answered.answeredAt(cause);
    const known = clearedAt.get(cause);
    if (own === undefined || known === undefined) return own ?? known;
    return Math.max(own, known);
  }

  function isCleared(cause: string, { endedAt }: Pick<Crash, 'endedAt'>): boolean {
    if ((releasedAt.get(cause) ?? -Infinity) >= endedAt) return true;
    // Parts come with many requests; a request that has once been answered may still change.
    const validity = isRequestDigest(cause) ? 0 : EVIDENCE_MILLISECONDS;
    return (clearanceOf(cause) ?? -Infinity) > endedAt - validity;
  }

  function crashesUnder(cause: string): KnownCrash[] {
    return [...crashes.values()].filter(
      ({ suspects, requests }) => suspects.has(cause) || requests.has(cause),
    );
  }

  function isSuspect(cause: string): boolean {
    for (const { suspects, requests } of crashes.values()) {
      if (suspects.has(cause) || requests.has(cause)) return true;
    }
    return false;
  }

  function recordCleared(cause: string, at: number): void {
    const before = clearedAt.get(cause);
    const isKnown = isRequestDigest(cause)
      ? crashesUnder(cause).every((crash) => isCleared(cause, crash))
      : before !== undefined && before + EVIDENCE_MILLISECONDS / 2 > at;
    if (isKnown || (before ?? -Infinity) >= at) return;
    clearedAt.set(cause, at);
    hasNews = true;
  }

  /** Evidence up to that time no longer counts against the part or request. */
  function release(cause: string, at: number, reason: string): void {
    releasedAt.delete(cause);
    releasedAt.set(cause, at);
    hasNews = true;
    if (!quarantinedAt.delete(cause)) return;
    listedRequests = undefined;
    if (isRequestDigest(cause)) logger.info('request released', { request: cause, reason });
    else logger.info('prompt part released', { part: cause, reason });
  }

  /** Parts and requests are limited apart, so that neither prevents the other's quarantine. */
  function countQuarantined(isRequest: boolean): number {
    let count = 0;
    for (const cause of quarantinedAt.keys()) if (isRequestDigest(cause) === isRequest) count += 1;
    return count;
  }

  function quarantine(cause: string, at: number, facts: Readonly<Record<string, unknown>>): void {
    if (quarantinedAt.has(cause)) return;
    const isRequest = isRequestDigest(cause);
    const quarantined = countQuarantined(isRequest);
    if (quarantined >= MAXIMUM_QUARANTINED) {
      if (isRequest) logger.warn('request not quarantined', { request: cause, quarantined });
      else logger.warn('prompt part not quarantined', { part: cause, quarantined });
      return;
    }
    quarantinedAt.set(cause, at);
    hasNews = true;
    listedRequests = undefined;
    if (isRequest) logger.warn('request quarantined', { request: cause, ...facts });
    else logger.warn('prompt part quarantined', { part: cause, ...facts });
    options.onQuarantine(cause);
    announceQuarantine();
  }

  function removeExpired(): void {
    const before = crashes.size + quarantinedAt.size;
    for (const [server, { endedAt }] of crashes) {
      if (now() - endedAt > EVIDENCE_MILLISECONDS) crashes.delete(server);
    }
    limitSize(crashes, MAXIMUM_CRASHES);
    for (const server of unannounced) if (!crashes.has(server)) unannounced.delete(server);
    for (const cause of clearedAt.keys()) if (!isSuspect(cause)) clearedAt.delete(cause);
    for (const [cause, at] of quarantinedAt) {
      if (now() - at > quarantineMilliseconds(cause)) quarantinedAt.delete(cause);
    }
    limitSize(releasedAt, MAXIMUM_RELEASED);
    if (crashes.size + quarantinedAt.size !== before) listedRequests = undefined;
  }

  function quarantineEach(blames: readonly Blame[]): void {
    for (const { cause, servers } of blames) {
      const reports = servers.map((server) => `${server} by ${crashes.get(server)?.source}`);
      quarantine(cause, now(), { crashes: servers.length, servers: reports.join(', ') });
    }
  }

  function evaluate(): void {
    removeExpired();
    const known = [...crashes.values()].filter(({ hasSurvived }) => !hasSurvived);
    for (const plan of [planRequestQuarantine, planQuarantine]) {
      const quarantined = new Set(quarantinedAt.keys());
      quarantineEach(plan({ crashes: known, quarantined, isCleared, now: now() }));
    }
    evaluateAt = Infinity;
    for (const [cause, at] of quarantinedAt) {
      evaluateAt = Math.min(evaluateAt, at + quarantineMilliseconds(cause) + 1);
    }
  }

  /** Announces news; suspects are judged again once others had the time to clear them. */
  function settle(): void {
    if (!hasNews) return;
    evaluate();
    evaluateAt = now() + CLEARANCE_TIME_MILLISECONDS;
    hasNews = false;
    options.onChange();
  }

  function evaluateIfDue(): void {
    if (now() < evaluateAt) return;
    evaluate();
    if (!hasNews) return;
    hasNews = false;
    options.onChange();
  }

  function addSuspects(crash: KnownCrash, suspects: readonly string[]): string[] {
    const added: string[] = [];
    for (const part of suspects) {
      if (crash.suspects.has(part) || crash.suspects.size >= MAXIMUM_SUSPECTS) continue;
      crash.suspects.add(part);
      added.push(part);
    }
    return added;
  }

  /** Several attempts at a request may be lost at once; the first of them counts. */
  function addRequests(crash: KnownCrash, requests: readonly LostRequest[]): string[] {
    const added: string[] = [];
    for (const { digest, generation } of requests) {
      const before = crash.requests.get(digest);
      if (before === undefined && crash.requests.size >= MAXIMUM_REQUESTS) continue;
      if (before !== undefined && before <= generation) continue;
      crash.requests.set(digest, generation);
      added.push(digest);
    }
    return added;
  }

  /** Adds what the crash is blamed on; returns what was not known. */
  function addCrash(
    { server, endedAt, suspects, requests, isSilent }: ObservedCrash,
    source: string,
  ): string[] {
    let crash = crashes.get(server);
    // A server that has survived its silence may end later, under other requests.
    if (crash === undefined || (crash.hasSurvived && !isSilent)) {
      crash = {
        server,
        source,
        endedAt,
        suspects: new Set(),
        requests: new Map(),
        isSilent,
        hasSurvived: false,
      };
    }
    const added = [...addSuspects(crash, suspects), ...addRequests(crash, requests)];
    const isConfirmed = crash.isSilent && !isSilent;
    if (added.length === 0 && !isConfirmed) return added;
    if (isConfirmed) crash.isSilent = false;
    crashes.set(server, crash);
    listedRequests = undefined;
    hasNews = true;
    return added;
  }

  function markSurvivor(server: string): void {
    const crash = crashes.get(server);
    if (crash === undefined || !crash.isSilent || crash.hasSurvived) return;
    crash.hasSurvived = true;
    hasNews = true;
    logger.info('silent backend server survived', { server });
  }

  /** The digest of the request if it is listed; hashes its body only if its head is. */
  function findListed(request: RequestDigest): string | undefined {
    if (crashes.size === 0 && quarantinedAt.size === 0) return undefined;
    listedRequests ??= listRequests();
    if (listedRequests.size === 0) return undefined;
    const listed = listedRequests.get(request.head());
    return listed?.includes(request.full()) === true ? request.full() : undefined;
  }

  function listRequests(): Map<string, readonly string[]> {
    const listed = new Map<string, readonly string[]>();
    const digests = new Set([...quarantinedAt.keys()].filter(isRequestDigest));
    for (const { requests } of crashes.values()) {
      for (const digest of requests.keys()) digests.add(digest);
    }
    for (const digest of digests) {
      const head = digest.slice(0, DIGEST_HEAD_LENGTH);
      listed.set(head, [...(listed.get(head) ?? []), digest]);
    }
    return listed;
  }

  /** Clears the parts that this entry itself has seen answered. */
  function clearOwn(causes: readonly string[]): void {
    for (const cause of causes) {
      const at = answered.answeredAt(cause);
      if (at !== undefined && now() - at < EVIDENCE_MILLISECONDS) recordCleared(cause, at);
    }
  }

  function agesOf(times: ReadonlyMap<string, number>, maximum: number): CauseStatement[] {
    const newest = [...times].slice(-maximum);
    return newest.map(([cause, at]) => ({ cause, ageMilliseconds: now() - at }));
  }

  function stateCrash(crash: KnownCrash): CrashStatement {
    const { server, endedAt, suspects, requests, isSilent, hasSurvived } = crash;
    return {
      server,
      ageMilliseconds: now() - endedAt,
      suspects: [...suspects],
      requests: [...requests].map(([digest, generation]) => ({ digest, generation })),
      isSilent,
      hasSurvived,
    };
  }

  return {
    recordAnswered(sharedParts) {
      for (const part of sharedParts) {
        answered.recordAnswered(part, now());
        if (quarantinedAt.has(part)) release(part, now(), 'answered');
        if (crashes.size > 0 && isSuspect(part)) recordCleared(part, now());
      }
      settle();
    },
    recordRequestAnswered(request) {
      const digest = findListed(request);
      if (digest === undefined) return;
      if (quarantinedAt.has(digest)) release(digest, now(), 'answered');
      recordCleared(digest, now());
      settle();
    },
    recordCrash(observed) {
      const { server, endedAt } = observed;
      const suspects = observed.suspects.filter((part) => !isCleared(part, { endedAt }));
      const added = addCrash({ ...observed, suspects }, OWN_SOURCE);
      if (added.some(isRequestDigest)) unannounced.add(server);
      settle();
    },
    currentProcess(server) {
      let process = server;
      for (let ends = 1; crashes.get(process)?.hasSurvived === false; ends += 1) {
        process = `${server}+${ends}`;
      }
      return process;
    },
    recordSurvivor(server) {
      markSurvivor(server);
      settle();
    },
    merge(statements, source) {
      for (const { cause, ageMilliseconds } of statements.released) {
        const at = now() - ageMilliseconds;
        if (at <= (releasedAt.get(cause) ?? -Infinity) + RELAY_TOLERANCE_MILLISECONDS) continue;
        release(cause, at, source);
      }
      for (const stated of statements.crashes) {
        const { server, ageMilliseconds } = stated;
        if (ageMilliseconds > EVIDENCE_MILLISECONDS) continue;
        const added = addCrash({ ...stated, endedAt: now() - ageMilliseconds }, source);
        if (stated.hasSurvived) markSurvivor(server);
        if (added.length === 0) continue;
        logger.info('crash reported', { server, causes: added.join(','), source });
        clearOwn(added);
      }
      for (const { cause, ageMilliseconds } of statements.cleared) {
        if (ageMilliseconds < EVIDENCE_MILLISECONDS && isSuspect(cause))
          recordCleared(cause, now() - ageMilliseconds);
      }
      for (const { cause, ageMilliseconds } of statements.quarantined) {
        const at = now() - ageMilliseconds;
        if (ageMilliseconds > quarantineMilliseconds(cause) || quarantinedAt.has(cause)) continue;
        if (at <= (releasedAt.get(cause) ?? -Infinity)) continue;
        // The others may have been unable to learn of the answer.
        if (isCleared(cause, { endedAt: at })) release(cause, now(), 'answered');
        else quarantine(cause, at, { source });
      }
      settle();
    },
    statements(scope) {
      evaluateIfDue();
      const isAll = scope === StatementScope.All;
      const maximumAge = isAll ? EVIDENCE_MILLISECONDS : RECENT_MILLISECONDS;
      const listed = [...crashes.values()]
        .filter(({ endedAt }) => now() - endedAt <= maximumAge)
        .slice(isAll ? 0 : -MAXIMUM_RECENT_CRASHES);
      const causes = new Set(
        listed.flatMap(({ suspects, requests }) => [...suspects, ...requests.keys()]),
      );
      return {
        crashes: listed.map(stateCrash),
        cleared: agesOf(clearedAt, clearedAt.size).filter(({ cause }) => causes.has(cause)),
        quarantined: agesOf(quarantinedAt, isAll ? 2 * MAXIMUM_QUARANTINED : MAXIMUM_RECENT_CAUSES),
        released: agesOf(releasedAt, isAll ? MAXIMUM_RELEASED : MAXIMUM_RECENT_CAUSES),
      };
    },
    takeUnannounced() {
      const listed: KnownCrash[] = [];
      for (const server of [...unannounced].slice(-MAXIMUM_RECENT_CRASHES)) {
        const crash = crashes.get(server);
        if (crash !== undefined) listed.push(crash);
      }
      unannounced.clear();
      if (listed.length === 0) return undefined;
      return { crashes: listed.map(stateCrash), cleared: [], quarantined: [], released: [] };
    },
    findQuarantined(sharedParts, request) {
      evaluateIfDue();
      if (quarantinedAt.size === 0) return undefined;
      for (const part of sharedParts) if (quarantinedAt.has(part)) return part;
      const digest = request === undefined ? undefined : findListed(request);
      return digest !== undefined && quarantinedAt.has(digest) ? digest : undefined;
    },
    generationOf(request) {
      const digest = findListed(request);
      if (digest === undefined) return 0;
      let generation = 0;
      for (const crash of crashesUnder(digest)) {
        if (crash.hasSurvived || isCleared(digest, crash)) continue;
        generation = Math.max(generation, crash.requests.get(digest) ?? 0);
      }
      return generation;
    },
    release(cause) {
      release(cause, now(), 'operator');
      settle();
    },
    nextQuarantine: () => pendingQuarantine,
    quarantinedParts: () => [...quarantinedAt.keys()].filter((cause) => !isRequestDigest(cause)),
    quarantinedRequests: () => [...quarantinedAt.keys()].filter(isRequestDigest),
  };
}
