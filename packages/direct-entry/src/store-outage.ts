/**
 * Decides whether rows of live backend servers may have expired while the store was unavailable,
 * and until when the servers that a list lacks must stay in use. Servers register again within
 * about two seconds of the store's return, and from then on a removed server must not be used. An
 * entry that is cut off from the store cannot tell this from an outage, so both are handled alike.
 * Times are milliseconds of the local clock.
 */

/** A long time without a confirmation, and its consequence for servers that the list lacks. */
export interface StoreSilence {
  readonly milliseconds: number;
  /** Earliest time at which the store can have returned; undefined if it may not have been away. */
  readonly returnedAt: number | undefined;
  /** A server that a list read at this time or later lacks is gone. */
  readonly retainUntil: number;
}

export interface StoreOutageDetector {
  /** Records that the store was unavailable to this entry, or may have been. */
  onUnavailable(at: number): void;
  /** Records that the store confirmed the list of servers to this or another entry. */
  onConfirmed(at: number): void;
  /** Records the earliest time at which the store can have returned, as another entry found. */
  onPeerOutageEnd(returnedAt: number): void;
  /** Earliest return of the store after the last outage; `-Infinity` if none is known. */
  returnedAt(): number;
  /** Lists read before this time may lack servers that are alive. */
  retainUntil(): number;
}

export interface StoreOutageDetectorOptions {
  readonly startedAt: number;
  /** Time within which a server that leaves must be unused by an entry that reaches the store. */
  drainingBoundMilliseconds(): number;
  /** Called when a silence has ended, and again if another entry knows of an outage. */
  onSilenceEnd(silence: StoreSilence): void;
}

/** Rows expire after three missed heartbeats, the first of which may follow the outage's start. */
export const MINIMUM_OUTAGE_MILLISECONDS = 2000;
/** Time for servers to register again, with some reserve. */
const REREGISTRATION_MILLISECONDS = 2500;
/** Longest interval between two calls of an entry that cannot reach the store. */
const MAXIMUM_CALL_INTERVAL_MILLISECONDS = 800;
/** Part of the draining bound for reading the list once more. */
const READ_RESERVE_MILLISECONDS = 300;

/** Creates a detector that has seen no outage. */
export function createStoreOutageDetector(
  options: StoreOutageDetectorOptions,
): StoreOutageDetector {
  let confirmedAt = options.startedAt;
  let unavailableAt = -Infinity;
  let returnedAt = -Infinity;
  let retainUntil = -Infinity;
  /** Start and end of the last long time without a confirmation. */
  let silence = { from: options.startedAt, to: options.startedAt };

  function retainServers(until: number, outageEndedAt: number | undefined): void {
    retainUntil = until;
    returnedAt = outageEndedAt ?? returnedAt;
    const milliseconds = silence.to - silence.from;
    options.onSilenceEnd({ milliseconds, returnedAt: outageEndedAt, retainUntil });
  }

  function endOutage(at: number): void {
    retainServers(at + REREGISTRATION_MILLISECONDS, at);
  }

  function endSilence(): void {
    const { from, to } = silence;
    if (unavailableAt > from) {
      const earliest = Math.max(unavailableAt, to - MAXIMUM_CALL_INTERVAL_MILLISECONDS);
      endOutage(Math.min(to, earliest));
      return;
    }
    // This entry may have been able to reach the store all the time, so the draining bound holds.
    retainServers(
      from + options.drainingBoundMilliseconds() - READ_RESERVE_MILLISECONDS,
      undefined,
    );
  }

  return {
    onUnavailable(at) {
      unavailableAt = Math.max(unavailableAt, at);
    },
    onConfirmed(at) {
      if (at <= confirmedAt) return;
      // Servers had too little time to register if the store was away again before `retainUntil`.
      const isRepeated = unavailableAt > confirmedAt && confirmedAt < retainUntil;
      if (isRepeated || at - confirmedAt >= MINIMUM_OUTAGE_MILLISECONDS) {
        silence = { from: confirmedAt, to: at };
        endSilence();
      }
      confirmedAt = at;
    },
    onPeerOutageEnd(at) {
      // Another entry's outage may have been a cut of its own path.
      const isInSilence = at > silence.from && at <= silence.to;
      if (isInSilence && at > returnedAt) endOutage(at);
    },
    returnedAt: () => returnedAt,
    retainUntil: () => retainUntil,
  };
}
