/**
 * Plans how often an entry reads the store's tables. In a large fleet only the primaries of a few
 * availability zones read; every other entry relies on their reports and reads directly once the
 * newest report is too old. That age is below the bounds within which changes must be in force, and
 * is staggered by role: delegates read first, so that a whole zone does not call the store at once.
 * Pure.
 */
import { ReadingRole } from '@lapisbridge/fleet';

/** Times within which accepted changes must be in force on every entry, in milliseconds. */
export interface PropagationBounds {
  readonly configuration: number;
  /** For a backend server that has started to drain. */
  readonly draining: number;
}

/** Intervals of an entry's calls to the store. */
export interface StoreReadPlan {
  /** Time for which the store may hold a call for changes of the operators' table. */
  readonly operatorsLongPollMilliseconds: number;
  /** Pause between two calls for the operators' table. */
  readonly operatorsPauseMilliseconds: number;
  /** Time for which the store may hold a call for changes of the servers' table. */
  readonly serversLongPollMilliseconds: number;
  /** Pause between two calls for the servers' table. */
  readonly serversPauseMilliseconds: number;
  /** Age of the newest report at which an entry reads the operators' table directly. */
  readonly operatorsDirectReadAgeMilliseconds: number;
  /** The same for the servers' table. */
  readonly serversDirectReadAgeMilliseconds: number;
}

/** What the plan depends on. */
export interface StoreReadsInput {
  readonly bounds: PropagationBounds;
  /** Whether the fleet is so large that some entries read on behalf of others. */
  readonly isDelegating: boolean;
  readonly role: ReadingRole;
}

/** Rows of servers change several times per second, so a call is held only briefly. */
export const SERVERS_LONG_POLL_MILLISECONDS = 300;
/** Time for a report to reach an entry of another zone: it is relayed in two digests. */
const REPORT_RELAY_MILLISECONDS = 800;
/**
 * Part of a bound that must remain when an entry starts to read directly: time for a delayed
 * report, a failed call and one more call.
 */
const RESERVE_RATIO = 0.3;
/** Upper bound of that part. */
const MAXIMUM_RESERVE_MILLISECONDS = 1000;
/** Pause between calls that the store answers immediately. */
const IMMEDIATE_CALL_PAUSE_MILLISECONDS = 300;
/** A held call that gets no response fails before its entry counts as in touch again. */
const MAXIMUM_LONG_POLL_MILLISECONDS = 1800;
const MINIMUM_LONG_POLL_MILLISECONDS = 300;
const MINIMUM_PAUSE_MILLISECONDS = 900;
const MAXIMUM_PAUSE_MILLISECONDS = 1300;
/** Shorter for readers, because other entries wait for their copies. */
const MINIMUM_READER_PAUSE_MILLISECONDS = 300;
/** Delay of a zone's second delegate after its primary, and of the other entries after that. */
const STAGGER_MILLISECONDS = 200;

/** Number of stagger delays after which a role starts to read directly. */
const STAGGER_STEPS: Readonly<Record<ReadingRole, number>> = {
  [ReadingRole.Reader]: 0,
  [ReadingRole.Primary]: 0,
  [ReadingRole.Standby]: 1,
  [ReadingRole.Follower]: 2,
};

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.max(minimum, Math.min(maximum, value));
}

/** Age of a copy at which an entry of any role reads the table directly. */
function latestDirectReadAge(bound: number): number {
  return bound - Math.min(MAXIMUM_RESERVE_MILLISECONDS, bound * RESERVE_RATIO);
}

/** Plans the calls of an entry for both tables. */
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
    // The store holds only readers' calls: other entries need the overdue confirmation at once.
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
