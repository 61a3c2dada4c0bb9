/**
 * What entries tell each other about crashes, and its JSON form. Times are ages, since the clocks
 * of entries differ.
 */
import { listOf, numberOf, objectsOf, textOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';

/** The end of one process of a backend server. */
export interface CrashStatement {
  /** Identifies the process. */
  readonly server: string;
  readonly ageMilliseconds: number;
  /** Shared prompt parts of the requests that were lost unanswered. */
  readonly suspects: readonly string[];
}

/** Something that happened to a prompt part, so long ago. */
export interface PartStatement {
  readonly part: string;
  readonly ageMilliseconds: number;
}

export interface CrashStatements {
  readonly crashes: readonly CrashStatement[];
  /** Parts of requests that a server went on answering. */
  readonly cleared: readonly PartStatement[];
  /** Parts that are blamed, since when. */
  readonly quarantined: readonly PartStatement[];
  /** Parts whose quarantine an operator has ended. */
  readonly released: readonly PartStatement[];
}

/** Bounds what one sender can make a receiver keep. */
const MAXIMUM_PART_LENGTH = 32;
const MAXIMUM_SERVER_LENGTH = 200;
const PART_PATTERN = /^[0-9a-f]+$/;

function isPart(value: unknown): value is string {
  return (
    typeof value === 'string' && value.length <= MAXIMUM_PART_LENGTH && PART_PATTERN.test(value)
  );
}

function encodeParts(name: string, statements: readonly PartStatement[]): JsonObject {
  if (statements.length === 0) return {};
  const encoded = statements.map(({ part, ageMilliseconds }) => [
    part,
    Math.round(ageMilliseconds),
  ]);
  return { [name]: encoded };
}

function decodeParts(body: JsonObject, name: string): PartStatement[] {
  const statements: PartStatement[] = [];
  for (const listed of listOf(body, name)) {
    if (!Array.isArray(listed)) continue;
    const [part, ageMilliseconds] = listed as unknown[];
    if (!isPart(part) || typeof ageMilliseconds !== 'number') continue;
    statements.push({ part, ageMilliseconds });
  }
  return statements;
}

/** Empty lists are left out, so that nothing is sent while nothing is known. */
export function encodeCrashStatements(statements: CrashStatements): JsonObject {
  const crashes = statements.crashes.map(({ server, ageMilliseconds, suspects }) => ({
    server,
    age: Math.round(ageMilliseconds),
    suspects,
  }));
  return {
    ...(crashes.length === 0 ? {} : { crashes }),
    ...encodeParts('cleared', statements.cleared),
    ...encodeParts('quarantined', statements.quarantined),
    ...encodeParts('released', statements.released),
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
    crashes.push({ server, ageMilliseconds, suspects: listOf(crash, 'suspects').filter(isPart) });
  }
  return {
    crashes,
    cleared: decodeParts(body, 'cleared'),
    quarantined: decodeParts(body, 'quarantined'),
    released: decodeParts(body, 'released'),
  };
}
