/**
 * How often the store's tables are read, and by whom. In a large fleet the primaries of a few
 * zones read; every other entry relies on their reports, and reads for itself once the age of the
 * newest report passes a limit. Limits stay below the bounds within which orders must be in force
 * and leave the delegates a head start, so that a whole zone does not call the store at once. Pure.
 */
import { ReadingRole } from '@lapisbridge/fleet';

/** Times within which accepted orders must be in force, in milliseconds. */
export interface OrderBounds {
  readonly configuration: number;
  /** For a backend server that is leaving. */
  readonly draining: number;
}

export interface ReadingPace {
  /** How long one call for changes of the operators' table waits at the store. */
  readonly operatorsWait: number;
  /** Between two reads of the operators' table. */
  readonly operatorsPause: number;
  /** How long one call for changes of the servers' table waits at the store. */
  readonly serversWait: number;
  /** Between two reads of the servers' table. */
  readonly serversPause: number;
  /** Ages of the newest report at which an entry reads the tables itself. */
  readonly operatorsLimit: number;
  readonly serversLimit: number;
}

export interface ReadingInput {
  readonly bounds: OrderBounds;
  /** Whether some entries read for others. */
  readonly isDelegating: boolean;
  readonly role: ReadingRole;
}

/** Servers' rows change several times a second, so one call waits only for a moment. */
export const SERVERS_WAIT_MILLISECONDS = 300;
/** From a reader over two digests to an entry of another zone. */
const RELAY_MILLISECONDS = 800;
/**
 * Part of a bound that is left when an entry begins to read for itself, and its most: for a report
 * that waited on its way, a call that fails, and one more call.
 */
const OWN_READING_SHARE = 0.3;
const LONGEST_OWN_READING_MILLISECONDS = 1000;
/** Between calls that do not wait at the store. */
const UNWAITED_PAUSE_MILLISECONDS = 300;
const LONGEST_WAIT_MILLISECONDS = 2500;
const SHORTEST_WAIT_MILLISECONDS = 300;
const SHORTEST_PAUSE_MILLISECONDS = 900;
const LONGEST_PAUSE_MILLISECONDS = 1300;
/** The same for readers, whose copies others wait for. */
const SHORTEST_READER_PAUSE_MILLISECONDS = 300;
/** Head start of a zone's primary before its second delegate, and of that before the others. */
const HEAD_START_MILLISECONDS = 200;

const HEAD_STARTS: Readonly<Record<ReadingRole, number>> = {
  [ReadingRole.Reader]: 0,
  [ReadingRole.Primary]: 0,
  [ReadingRole.Standby]: 1,
  [ReadingRole.Follower]: 2,
};

function clamp(value: number, least: number, most: number): number {
  return Math.max(least, Math.min(most, value));
}

/** Age of a copy at which every entry reads the table itself, whatever its role. */
function planLatestRead(bound: number): number {
  return bound - Math.min(LONGEST_OWN_READING_MILLISECONDS, bound * OWN_READING_SHARE);
}

export function planReading({ bounds, isDelegating, role }: ReadingInput): ReadingPace {
  if (!isDelegating) {
    return {
      operatorsWait: LONGEST_WAIT_MILLISECONDS,
      operatorsPause: 0,
      serversWait: SERVERS_WAIT_MILLISECONDS,
      serversPause: SHORTEST_PAUSE_MILLISECONDS,
      operatorsLimit: 0,
      serversLimit: 0,
    };
  }
  const operatorsLatest = planLatestRead(bounds.configuration);
  const serversLatest = planLatestRead(bounds.draining);
  const relayed = RELAY_MILLISECONDS + HEAD_STARTS[ReadingRole.Follower] * HEAD_START_MILLISECONDS;
  const readerWait = clamp(
    operatorsLatest - relayed,
    SHORTEST_WAIT_MILLISECONDS,
    LONGEST_WAIT_MILLISECONDS,
  );
  const serversPause = clamp(
    serversLatest - relayed - SERVERS_WAIT_MILLISECONDS,
    SHORTEST_READER_PAUSE_MILLISECONDS,
    LONGEST_PAUSE_MILLISECONDS,
  );
  const isReader = role === ReadingRole.Reader;
  const behindOthers =
    (HEAD_STARTS[ReadingRole.Follower] - HEAD_STARTS[role]) * HEAD_START_MILLISECONDS;
  const usualAge = (longest: number): number => longest + RELAY_MILLISECONDS;
  return {
    // Only a reader waits at the store: another entry needs the confirmation that is overdue.
    operatorsWait: isReader ? readerWait : 0,
    operatorsPause: isReader ? 0 : UNWAITED_PAUSE_MILLISECONDS,
    serversWait: isReader ? SERVERS_WAIT_MILLISECONDS : 0,
    serversPause,
    operatorsLimit: Math.max(operatorsLatest - behindOthers, usualAge(readerWait)),
    serversLimit: Math.max(
      serversLatest - behindOthers,
      usualAge(serversPause + SERVERS_WAIT_MILLISECONDS),
    ),
  };
}
