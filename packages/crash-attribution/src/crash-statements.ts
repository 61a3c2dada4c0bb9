/**
 * What entries tell each other about crashes, and its JSON form. Times are ages, since the clocks
 * of entries differ.
 */
import { listOf, numberOf, objectsOf, textOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';

import { REQUEST_PREFIX } from './request-digest.js';

/** A request that was lost with a server. */
export interface LostRequest {
  readonly digest: string;
  /** See `Crash`. */
  readonly generation: number;
}

/** The end of one process of a backend server. */
export interface CrashStatement {
  /** Identifies the process. */
  readonly server: string;
  readonly ageMilliseconds: number;
  /** Shared prompt parts of the requests that were lost unanswered. */
  readonly suspects: readonly string[];
  readonly requests: readonly LostRequest[];
  /** Whether its silence is all that shows the end. */
  readonly isSilent: boolean;
  /** Whether a silent server was heard later. */
  readonly hasSurvived: boolean;
}

/** Something that happened to a prompt part or a request, so long ago. */
export interface CauseStatement {
  /** Id of a prompt part, or digest of a request. */
  readonly cause: string;
  readonly ageMilliseconds: number;
}

export interface CrashStatements {
  readonly crashes: readonly CrashStatement[];
  /** Parts of requests that a server went on answering, and requests that one has answered. */
  readonly cleared: readonly CauseStatement[];
  /** What is blamed, since when. */
  readonly quarantined: readonly CauseStatement[];
  /** What an operator or an answer has released. */
  readonly released: readonly CauseStatement[];
}

/** Bounds what one sender can make a receiver keep. */
const MAXIMUM_CAUSE_LENGTH = 32;
const MAXIMUM_SERVER_LENGTH = 200;
const MAXIMUM_GENERATION = 1000;
const PART_PATTERN = /^[0-9a-f]+$/;
const REQUEST_PATTERN = new RegExp(`^${REQUEST_PREFIX}[0-9a-f]+$`);

function matches(value: unknown, pattern: RegExp): value is string {
  return typeof value === 'string' && value.length <= MAXIMUM_CAUSE_LENGTH && pattern.test(value);
}

function isPart(value: unknown): value is string {
  return matches(value, PART_PATTERN);
}

function isCause(value: unknown): value is string {
  return isPart(value) || matches(value, REQUEST_PATTERN);
}

function encodeCauses(name: string, statements: readonly CauseStatement[]): JsonObject {
  if (statements.length === 0) return {};
  const encoded = statements.map(({ cause, ageMilliseconds }) => [
    cause,
    Math.round(ageMilliseconds),
  ]);
  return { [name]: encoded };
}

function decodeCauses(body: JsonObject, name: string): CauseStatement[] {
  const statements: CauseStatement[] = [];
  for (const listed of listOf(body, name)) {
    if (!Array.isArray(listed)) continue;
    const [cause, ageMilliseconds] = listed as unknown[];
    if (!isCause(cause) || typeof ageMilliseconds !== 'number') continue;
    statements.push({ cause, ageMilliseconds });
  }
  return statements;
}

function decodeRequests(crash: JsonObject): LostRequest[] {
  const requests: LostRequest[] = [];
  for (const listed of listOf(crash, 'requests')) {
    if (!Array.isArray(listed)) continue;
    const [digest, generation] = listed as unknown[];
    if (!matches(digest, REQUEST_PATTERN) || !Number.isInteger(generation)) continue;
    const bounded = Math.min(Math.max(1, generation as number), MAXIMUM_GENERATION);
    requests.push({ digest, generation: bounded });
  }
  return requests;
}

/** Empty lists are left out, so that nothing is sent while nothing is known. */
export function encodeCrashStatements(statements: CrashStatements): JsonObject {
  const crashes = statements.crashes.map((crash) => ({
    server: crash.server,
    age: Math.round(crash.ageMilliseconds),
    suspects: crash.suspects,
    ...(crash.requests.length === 0
      ? {}
      : { requests: crash.requests.map(({ digest, generation }) => [digest, generation]) }),
    ...(crash.isSilent ? { silent: true } : {}),
    ...(crash.hasSurvived ? { survived: true } : {}),
  }));
  return {
    ...(crashes.length === 0 ? {} : { crashes }),
    ...encodeCauses('cleared', statements.cleared),
    ...encodeCauses('quarantined', statements.quarantined),
    ...encodeCauses('released', statements.released),
  };
}

/** Statements that are not valid are left out. */
export function decodeCrashStatements(body: JsonObject): CrashStatements {
  const crashes: CrashStatement[] = [];
  for (const crash of objectsOf(body, 'crashes')) {
    const server = textOf(crash, 'server');
    const ageMilliseconds = numberOf(crash, 'age');
    if (server === undefined || server.length > MAXIMUM_SERVER_LENGTH) continue;
    if (ageMilliseconds === undefined) continue;
    crashes.push({
      server,
      ageMilliseconds,
      suspects: listOf(crash, 'suspects').filter(isPart),
      requests: decodeRequests(crash),
      isSilent: crash.silent === true,
      hasSurvived: crash.survived === true,
    });
  }
  return {
    crashes,
    cleared: decodeCauses(body, 'cleared'),
    quarantined: decodeCauses(body, 'quarantined'),
    released: decodeCauses(body, 'released'),
  };
}
