/**
 * Leader election of a group: the leader is the sidecar named in the group's row, and the row's
 * revision is its fencing number. There is no lease to renew, since calls to the store are the main
 * cost: followers receive heartbeats by datagram and claim the row when these stop. Two sidecars
 * may therefore believe for a while that they lead; safety comes from the fencing number and the
 * rollout protocol, not from the election.
 */
import { TransactionKind } from '@lapisbridge/catalog';
import type { Store } from '@lapisbridge/catalog';
import { numberOf, parseObject, textOf } from '@lapisbridge/json-call';
import type { Logger } from '@lapisbridge/logger';

export interface LeadershipOptions {
  readonly store: Store;
  readonly instanceId: string;
  readonly logger: Logger;
  /** This instance's host, at which others can query whether it still leads. */
  readonly host: string;
  /**
   * Queries the fencing number of the leader at a host; undefined when it does not lead. Rejects
   * when no answer arrives.
   */
  queryLeader(host: string): Promise<number | undefined>;
  now(): number;
  random(): number;
}

/** State of this instance's rank that matters for the election. */
export interface GroupMember {
  readonly group: string;
  readonly rank: number;
  /** Whether a hold at this rank keeps the group from starting a pass. */
  readonly isHeld: boolean;
}

export interface Leadership {
  /** Fencing number while this instance leads and its leadership needs no verification. */
  fencingNumber(): number | undefined;
  /**
   * Rank of the previous leader; undefined unless its heartbeats said that it had seen the group
   * without pending orders.
   */
  previousLeaderRank(): number | undefined;
  /** Host of the previous leader if it did not answer when it was replaced. */
  unresponsiveLeaderHost(): string | undefined;
  /** Records another leader's fencing number; false when a higher one is known. */
  acceptFencingNumber(fencingNumber: number): boolean;
  /** Records a heartbeat of the leader. */
  onLeaderHeartbeat(fencingNumber: number, isSettled: boolean): void;
  /**
   * Claims the group when its leader has been silent for too long, or verifies this instance's own
   * leadership when required. Does nothing while an earlier attempt is running.
   */
  claimOrVerify(member: GroupMember): Promise<void>;
  /**
   * Requires that the row is read before this instance leads on, since another may have replaced
   * it: after this process was suspended, or after a rank refused an order as fenced.
   */
  requireVerification(): void;
}

interface LeaderRow {
  readonly revision: number;
  readonly isOwn: boolean;
  readonly host: string | undefined;
  readonly rank: number | undefined;
}

const TABLE = 'group-leaders';
/** Silence after which a leader is replaced: six of its heartbeats. */
const ELECTION_TIMEOUT_MILLISECONDS = 1000;
/**
 * Shorter silence that applies while this rank holds the group. A leader that freezes then stops
 * every stream of the group, and callers leave after two seconds; with the usual timeout, the claim
 * and the first round of reports, a group was held for 2.4 s. The previous leader is queried before
 * it is replaced, so a premature attempt costs one read.
 */
const HELD_ELECTION_TIMEOUT_MILLISECONDS = 400;
/** Delay between the claims of successive ranks, so that usually only the first one claims. */
const RANK_STAGGER_MILLISECONDS = 120;
/**
 * Delay after startup before the group is claimed. A running leader is found through its row, so
 * this only has to cover the startup of the other ranks, which takes some 100 ms. It is short
 * because after a power failure the group runs on its initial map, 3.5 times too slow, until it has
 * a leader.
 */
const STARTUP_DELAY_MILLISECONDS = 300;
const RETRY_INTERVAL_MILLISECONDS = 600;

export function createLeadership(options: LeadershipOptions): Leadership {
  const { store, instanceId, logger, now } = options;
  const startedAt = now();
  const nonce = `${instanceId}/${Math.floor(options.random() * 2 ** 31).toString(36)}`;
  let ownFencingNumber: number | undefined;
  let highestFencingNumber = 0;
  let lastHeartbeatAt = startedAt + STARTUP_DELAY_MILLISECONDS - ELECTION_TIMEOUT_MILLISECONDS;
  let nextAttemptAt = 0;
  let isAttemptRunning = false;
  let needsVerification = false;
  let previousLeaderRank: number | undefined;
  let unresponsiveLeaderHost: string | undefined;
  let settledFencingNumber = 0;

  function stepDown(reason: string): void {
    if (ownFencingNumber === undefined) return;
    logger.info('lost group leadership', { fence: ownFencingNumber, reason });
    ownFencingNumber = undefined;
    needsVerification = false;
    lastHeartbeatAt = now();
  }

  async function readRow(group: string): Promise<LeaderRow> {
    const { rows } = await store.list(TABLE, group);
    const row = rows.find(({ key }) => key === 'leader');
    const value = row?.value === undefined ? undefined : parseObject(row.value);
    const host = value === undefined ? undefined : textOf(value, 'host');
    const rank = value === undefined ? undefined : numberOf(value, 'rank');
    return { revision: row?.revision ?? 0, isOwn: value?.nonce === nonce, host, rank };
  }

  function becomeLeader(group: string, revision: number): void {
    ownFencingNumber = revision;
    highestFencingNumber = Math.max(highestFencingNumber, revision);
    needsVerification = false;
    logger.info('became group leader', { group, fence: revision });
  }

  async function queryPreviousLeader(host: string | undefined): Promise<number | undefined> {
    unresponsiveLeaderHost = undefined;
    if (host === undefined) return undefined;
    try {
      return await options.queryLeader(host);
    } catch {
      unresponsiveLeaderHost = host;
      return undefined;
    }
  }

  async function claim(group: string, rank: number): Promise<void> {
    const before = await readRow(group);
    if (before.isOwn) {
      becomeLeader(group, before.revision);
      return;
    }
    // Heartbeats may not have reached this instance yet, while the leader named in the row is
    // running.
    const answeredFencingNumber = await queryPreviousLeader(before.host);
    if (answeredFencingNumber === before.revision) {
      lastHeartbeatAt = now();
      highestFencingNumber = Math.max(highestFencingNumber, answeredFencingNumber);
      return;
    }
    previousLeaderRank = before.revision === settledFencingNumber ? before.rank : undefined;
    const written = await store.write(TABLE, group, [
      {
        key: 'leader',
        value: Buffer.from(JSON.stringify({ nonce, host: options.host, rank })),
        expectedRevision: before.revision,
      },
    ]);
    // If the outcome is unknown, the next attempt reads the row.
    if (written.kind === TransactionKind.Applied) becomeLeader(group, written.revision);
  }

  async function verify(group: string): Promise<void> {
    const row = await readRow(group);
    if (row.isOwn && row.revision === ownFencingNumber) needsVerification = false;
    else stepDown('the row names another leader');
  }

  return {
    fencingNumber: () => (needsVerification ? undefined : ownFencingNumber),
    previousLeaderRank: () => previousLeaderRank,
    unresponsiveLeaderHost: () => unresponsiveLeaderHost,
    acceptFencingNumber(fencingNumber) {
      if (fencingNumber < highestFencingNumber) return false;
      highestFencingNumber = fencingNumber;
      if (ownFencingNumber !== undefined && fencingNumber > ownFencingNumber)
        stepDown('received an order of a newer leader');
      return true;
    },
    onLeaderHeartbeat(fencingNumber, isSettled) {
      if (fencingNumber < highestFencingNumber) return;
      if (isSettled) settledFencingNumber = fencingNumber;
      highestFencingNumber = fencingNumber;
      lastHeartbeatAt = now();
      if (ownFencingNumber !== undefined && fencingNumber > ownFencingNumber)
        stepDown('received a heartbeat of a newer leader');
    },
    async claimOrVerify({ group, rank, isHeld }) {
      if (isAttemptRunning || now() < nextAttemptAt) return;
      const silence = now() - lastHeartbeatAt;
      const electionTimeout = ELECTION_TIMEOUT_MILLISECONDS + rank * RANK_STAGGER_MILLISECONDS;
      const isDue = silence > (isHeld ? HELD_ELECTION_TIMEOUT_MILLISECONDS : electionTimeout);
      if (ownFencingNumber === undefined && !isDue) return;
      if (ownFencingNumber !== undefined && !needsVerification) return;
      isAttemptRunning = true;
      nextAttemptAt = now() + RETRY_INTERVAL_MILLISECONDS * (0.5 + options.random());
      try {
        if (ownFencingNumber === undefined) await claim(group, rank);
        else await verify(group);
      } catch (thrown) {
        logger.info('leadership claim or verification failed', { group, reason: String(thrown) });
      } finally {
        isAttemptRunning = false;
      }
    },
    requireVerification() {
      if (ownFencingNumber === undefined) return;
      needsVerification = true;
      logger.info('leadership requires verification', {
        fence: ownFencingNumber,
        reason: 'this process was suspended or its order was fenced',
      });
    },
  };
}
