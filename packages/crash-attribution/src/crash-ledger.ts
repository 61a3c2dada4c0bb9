/**
 * Keeps what one entry knows of crashed servers and the prompt parts under suspicion: its own
 * observations and those of other entries, which it passes on. Observations only ever add up, so
 * their order and repetition do not matter.
 */
import type { Logger } from '@lapisbridge/logger';

import { createClearedParts } from './cleared-parts.js';
import type { CrashStatements, PartStatement } from './crash-statements.js';
import { CLEARANCE_TIME_MILLISECONDS, planQuarantine } from './plan-quarantine.js';
import type { Crash } from './plan-quarantine.js';

/** A crash as an entry observes it. */
export interface ObservedCrash {
  /** Identifies the process that ended. */
  readonly server: string;
  readonly endedAt: number;
  readonly suspects: readonly string[];
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
  /** The first of the parts that is quarantined; undefined if none is. */
  findQuarantined(sharedParts: readonly string[]): string | undefined;
  /** Resolves when the next part is quarantined. */
  nextQuarantine(): Promise<void>;
  /** Ends the quarantine of a part, and forgets the crashes that led to it. */
  release(part: string): void;
  /** Quarantined parts, oldest first. */
  quarantinedParts(): readonly string[];
}

export enum StatementScope {
  All = 'all',
  Recent = 'recent',
}

export interface CrashLedgerOptions {
  readonly logger: Logger;
  /** Called when this entry knows something that others may not know. */
  onChange(): void;
  /** Called once for each part that is quarantined. */
  onQuarantine(part: string): void;
  now(): number;
}

interface KnownCrash extends Crash {
  /** Who reported it first. */
  readonly source: string;
  readonly suspects: Set<string>;
}

/** How long a crash counts as evidence, and an answered request clears its parts. */
const EVIDENCE_MILLISECONDS = 600_000;
/** Source of this entry's own observations. */
const OWN_SOURCE = 'this entry';
const QUARANTINE_MILLISECONDS = 24 * 3_600_000;
/** Long enough to reach every entry through relays and lost messages. */
const RECENT_MILLISECONDS = 15_000;
/** Bounds on what callers can make an entry keep and send. */
const MAXIMUM_CRASHES = 64;
const MAXIMUM_SUSPECTS = 32;
const MAXIMUM_QUARANTINED = 256;
const MAXIMUM_RELEASED = 256;
const MAXIMUM_RECENT_CRASHES = 8;
const MAXIMUM_RECENT_PARTS = 16;
/** A relayed statement is the same one if it differs by less. */
const RELAY_TOLERANCE_MILLISECONDS = 1000;

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
  /** Parts of known crashes that are known to be sound, whoever saw it. */
  const clearedAt = new Map<string, number>();
  const quarantinedAt = new Map<string, number>();
  const releasedAt = new Map<string, number>();
  /** When suspects are judged again without further news. */
  let evaluateAt = Infinity;
  let resolveQuarantine: () => void = () => undefined;
  let pendingQuarantine = nextPromise();
  /** Whether there is something that others may not know. */
  let hasNews = false;

  function nextPromise(): Promise<void> {
    return new Promise((resolve) => {
      resolveQuarantine = resolve;
    });
  }

  function announceQuarantine(): void {
    resolveQuarantine();
    pendingQuarantine = nextPromise();
  }

  function clearanceOf(part: string): number | undefined {
    const own = answered.answeredAt(part);
    const known = clearedAt.get(part);
    if (own === undefined || known === undefined) return own ?? known;
    return Math.max(own, known);
  }

  function isCleared(part: string, crash: Pick<Crash, 'endedAt'>): boolean {
    if ((releasedAt.get(part) ?? -Infinity) >= crash.endedAt) return true;
    return (clearanceOf(part) ?? -Infinity) > crash.endedAt - EVIDENCE_MILLISECONDS;
  }

  function isSuspect(part: string): boolean {
    for (const { suspects } of crashes.values()) if (suspects.has(part)) return true;
    return false;
  }

  function recordCleared(part: string, at: number): void {
    const before = clearedAt.get(part);
    if (before !== undefined && before + EVIDENCE_MILLISECONDS / 2 > at) return;
    clearedAt.set(part, at);
    hasNews = true;
  }

  /** Evidence up to that time no longer counts against the part. */
  function release(part: string, at: number, reason: string): void {
    releasedAt.delete(part);
    releasedAt.set(part, at);
    hasNews = true;
    if (!quarantinedAt.delete(part)) return;
    logger.info('prompt part released', { part, reason });
  }

  function quarantine(part: string, at: number, facts: Readonly<Record<string, unknown>>): void {
    if (quarantinedAt.has(part)) return;
    if (quarantinedAt.size >= MAXIMUM_QUARANTINED) {
      logger.warn('prompt part not quarantined', { part, quarantined: quarantinedAt.size });
      return;
    }
    quarantinedAt.set(part, at);
    hasNews = true;
    logger.warn('prompt part quarantined', { part, ...facts });
    options.onQuarantine(part);
    announceQuarantine();
  }

  function removeExpired(): void {
    for (const [server, { endedAt }] of crashes) {
      if (now() - endedAt > EVIDENCE_MILLISECONDS) crashes.delete(server);
    }
    limitSize(crashes, MAXIMUM_CRASHES);
    for (const part of clearedAt.keys()) if (!isSuspect(part)) clearedAt.delete(part);
    for (const [part, at] of quarantinedAt) {
      if (now() - at > QUARANTINE_MILLISECONDS) quarantinedAt.delete(part);
    }
    limitSize(releasedAt, MAXIMUM_RELEASED);
  }

  function evaluate(): void {
    evaluateAt = Infinity;
    removeExpired();
    const blames = planQuarantine({
      crashes: [...crashes.values()],
      quarantined: new Set(quarantinedAt.keys()),
      isCleared,
      now: now(),
    });
    for (const { part, servers } of blames) {
      const reports = servers.map((server) => `${server} by ${crashes.get(server)?.source}`);
      quarantine(part, now(), { crashes: servers.length, servers: reports.join(', ') });
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

  /** Adds the suspects to the crash; returns those that were not known. */
  function addCrash({ server, endedAt, suspects }: ObservedCrash, source: string): string[] {
    const added: string[] = [];
    const known = crashes.get(server);
    const all = known?.suspects ?? new Set<string>();
    for (const part of suspects) {
      if (all.has(part) || all.size >= MAXIMUM_SUSPECTS) continue;
      all.add(part);
      added.push(part);
    }
    if (added.length === 0) return added;
    if (known === undefined) crashes.set(server, { server, source, endedAt, suspects: all });
    hasNews = true;
    return added;
  }

  /** Clears the parts that this entry itself has seen answered. */
  function clearOwn(parts: readonly string[]): void {
    for (const part of parts) {
      const at = answered.answeredAt(part);
      if (at !== undefined && now() - at < EVIDENCE_MILLISECONDS) recordCleared(part, at);
    }
  }

  function agesOf(times: ReadonlyMap<string, number>, maximum: number): PartStatement[] {
    const newest = [...times].slice(-maximum);
    return newest.map(([part, at]) => ({ part, ageMilliseconds: now() - at }));
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
    recordCrash({ server, endedAt, suspects }) {
      const uncleared = suspects.filter((part) => !isCleared(part, { endedAt }));
      addCrash({ server, endedAt, suspects: uncleared }, OWN_SOURCE);
      settle();
    },
    merge(statements, source) {
      for (const { part, ageMilliseconds } of statements.released) {
        const at = now() - ageMilliseconds;
        if (at <= (releasedAt.get(part) ?? -Infinity) + RELAY_TOLERANCE_MILLISECONDS) continue;
        release(part, at, source);
      }
      for (const { server, ageMilliseconds, suspects } of statements.crashes) {
        if (ageMilliseconds > EVIDENCE_MILLISECONDS) continue;
        const added = addCrash({ server, endedAt: now() - ageMilliseconds, suspects }, source);
        if (added.length === 0) continue;
        logger.info('crash reported', { server, suspects: added.join(','), source });
        clearOwn(added);
      }
      for (const { part, ageMilliseconds } of statements.cleared) {
        if (ageMilliseconds < EVIDENCE_MILLISECONDS && isSuspect(part))
          recordCleared(part, now() - ageMilliseconds);
      }
      for (const { part, ageMilliseconds } of statements.quarantined) {
        const at = now() - ageMilliseconds;
        if (ageMilliseconds > QUARANTINE_MILLISECONDS || quarantinedAt.has(part)) continue;
        if (at <= (releasedAt.get(part) ?? -Infinity)) continue;
        // The others may have been unable to learn of the answer.
        if (isCleared(part, { endedAt: at })) release(part, now(), 'answered');
        else quarantine(part, at, { source });
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
      const suspects = new Set(listed.flatMap((crash) => [...crash.suspects]));
      return {
        crashes: listed.map((crash) => ({
          server: crash.server,
          ageMilliseconds: now() - crash.endedAt,
          suspects: [...crash.suspects],
        })),
        cleared: agesOf(clearedAt, clearedAt.size).filter(({ part }) => suspects.has(part)),
        quarantined: agesOf(quarantinedAt, isAll ? MAXIMUM_QUARANTINED : MAXIMUM_RECENT_PARTS),
        released: agesOf(releasedAt, isAll ? MAXIMUM_RELEASED : MAXIMUM_RECENT_PARTS),
      };
    },
    findQuarantined(sharedParts) {
      evaluateIfDue();
      if (quarantinedAt.size === 0) return undefined;
      for (const part of sharedParts) if (quarantinedAt.has(part)) return part;
      return undefined;
    },
    release(part) {
      release(part, now(), 'operator');
      settle();
    },
    nextQuarantine: () => pendingQuarantine,
    quarantinedParts: () => [...quarantinedAt.keys()],
  };
}
