/**
 * How often the store's tables are read, and by whom. In a large fleet the primaries of a few
 * zones read; every other entry relies on their reports, and reads for itself once the age of the
 * newest report passes a limit. Limits stay below the bounds within which orders must be in force
 * and leave the delegates a head start, so that a whole zone does not call the store at once. Pure.
 */
import { ReadingRole } from '@lapisbridge/fleet';

/** Times within which accepted orders must be in force, in milliseconds. */
export interface PropagationBounds {
  readonly configuration: number;
  /** For a backend server that is leaving. */
  readonly draining: number;
}

export interface StoreReadPlan {
  /** How long one call for changes of the operators' table waits at the store. */
  readonly operatorsLongPollMilliseconds: number;
  /** Between two reads of the operators' table. */
  readonly operatorsPauseMilliseconds: number;
  /** How long one call for changes of the servers' table waits at the store. */
  readonly serversLongPollMilliseconds: number;
  /** Between two reads of the servers' table. */
  readonly serversPauseMilliseconds: number;
  /** Ages of the newest report at which an entry reads the tables itself. */
  readonly operatorsDirectReadAgeMilliseconds: number;
  readonly serversDirectReadAgeMilliseconds: number;
}

export interface StoreReadsInput {
  readonly bounds: PropagationBounds;
  /** Whether some entries read for others. */
  readonly isDelegating: boolean;
  readonly role: ReadingRole;
}

/** Servers' rows change several times a second, so one call waits only for a moment. */
export const SERVERS_LONG_POLL_MILLISECONDS = 300;
/** From a reader over two digests to an entry of another zone. */
const REPORT_RELAY_MILLISECONDS = 800;
/**
 * Part of a bound that is left when an entry begins to read for itself, and its most: for a report
 * that waited on its way, a call that fails, and one more call.
 */
const RESERVE_RATIO = 0.3;
const MAXIMUM_RESERVE_MILLISECONDS = 1000;
/** Between calls that do not wait at the store. */
const IMMEDIATE_CALL_PAUSE_MILLISECONDS = 300;
const MAXIMUM_LONG_POLL_MILLISECONDS = 2500;
const MINIMUM_LONG_POLL_MILLISECONDS = 300;
const MINIMUM_PAUSE_MILLISECONDS = 900;
const MAXIMUM_PAUSE_MILLISECONDS = 1300;
/** The same for readers, whose copies others wait for. */
const MINIMUM_READER_PAUSE_MILLISECONDS = 300;
/** Head start of a zone's primary before its second delegate, and of that before the others. */
const STAGGER_MILLISECONDS = 200;

const STAGGER_STEPS: Readonly<Record<ReadingRole, number>> = {
  [ReadingRole.Reader]: 0,
  [ReadingRole.Primary]: 0,
  [ReadingRole.Standby]: 1,
  [ReadingRole.Follower]: 2,
};

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.max(minimum, Math.min(maximum, value));
}

/** Age of a copy at which every entry reads the table itself, whatever its role. */
function latestDirectReadAge(bound: number): number {
  return bound - Math.min(MAXIMUM_RESERVE_MILLISECONDS, bound * RESERVE_RATIO);
}

export function planStoreReads({ bounds, isDelegating, role }: StoreReadsInput): StoreReadPlan {
  if (!isDelegating) {
    return {
      operatorsLongPollMilliseconds: MAXIMUM_LONG_POLL_MILLISECONDS,
      operatorsPauseMilliseconds: 0,
      serversLongPollMilliseconds: SERVERS_LONG_POLL_MILLISECONDS,
      serversPauseMilliseconds: MINIMUM_PAUSE_MILLISECONDS,
      operatorsDirectReadAgeMilliseconds: 0,
      serversDirectReadAgeMilliseconds: 0,
    };
  }
  const operatorsLatestAge = latestDirectReadAge(bounds.configuration);
  const serversLatestAge = latestDirectReadAge(bounds.draining);
  const relayMilliseconds =
    REPORT_RELAY_MILLISECONDS + STAGGER_STEPS[ReadingRole.Follower] * STAGGER_MILLISECONDS;
  const readerLongPollMilliseconds = clamp(
    operatorsLatestAge - relayMilliseconds,
    MINIMUM_LONG_POLL_MILLISECONDS,
    MAXIMUM_LONG_POLL_MILLISECONDS,
  );
  const serversPauseMilliseconds = clamp(
    serversLatestAge - relayMilliseconds - SERVERS_LONG_POLL_MILLISECONDS,
    MINIMUM_READER_PAUSE_MILLISECONDS,
    MAXIMUM_PAUSE_MILLISECONDS,
  );
  const isReader = role === ReadingRole.Reader;
  const leadMilliseconds =
    (STAGGER_STEPS[ReadingRole.Follower] - STAGGER_STEPS[role]) * STAGGER_MILLISECONDS;
  const expectedAge = (readInterval: number): number => readInterval + REPORT_RELAY_MILLISECONDS;
  return {
    // Only a reader waits at the store: another entry needs the confirmation that is overdue.
    operatorsLongPollMilliseconds: isReader ? readerLongPollMilliseconds : 0,
    operatorsPauseMilliseconds: isReader ? 0 : IMMEDIATE_CALL_PAUSE_MILLISECONDS,
    serversLongPollMilliseconds: isReader ? SERVERS_LONG_POLL_MILLISECONDS : 0,
    serversPauseMilliseconds,
    operatorsDirectReadAgeMilliseconds: Math.max(
      operatorsLatestAge - leadMilliseconds,
      expectedAge(readerLongPollMilliseconds),
    ),
    serversDirectReadAgeMilliseconds: Math.max(
      serversLatestAge - leadMilliseconds,
      expectedAge(serversPauseMilliseconds + SERVERS_LONG_POLL_MILLISECONDS),
    ),
  };
}
