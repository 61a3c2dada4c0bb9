/**
 * Who leads a group: the sidecar whose name stands in the group's row. The row's revision is
 * the leader's fencing number. Nothing is renewed, since calls to the store are what costs:
 * followers hear the leader by datagrams, and claim the row when it falls silent. Two may then
 * believe to lead for a while; safety rests on fencing and on the rollout, not on this.
 */
import { TransactionKind } from '@lapisbridge/catalog';
import type { Store } from '@lapisbridge/catalog';
import { numberOf, parseObject, textOf } from '@lapisbridge/json-call';
import type { Logger } from '@lapisbridge/logger';

export interface LeadershipOptions {
  readonly store: Store;
  readonly instanceId: string;
  readonly logger: Logger;
  /** This instance's host, where others ask whether it still leads. */
  readonly host: string;
  /** Fencing number of the leader at a host; undefined when it does not lead. Rejects unanswered. */
  queryLeader(host: string): Promise<number | undefined>;
  now(): number;
  random(): number;
}

/** The rank beside this instance, as far as leading its group goes. */
export interface GroupMember {
  readonly group: string;
  readonly rank: number;
  /** Whether this rank keeps the group from beginning a pass. */
  readonly isHeld: boolean;
}

export interface Leadership {
  /** Fencing number while this instance leads. */
  fencingNumber(): number | undefined;
  /** Rank of the leader before this one, if it was heard to have seen the group free. */
  previousLeaderRank(): number | undefined;
  /** Host of the leader before this one, if it did not answer when it was replaced. */
  unresponsiveLeaderHost(): string | undefined;
  /** Takes note of another leader's number; false when a higher one is known. */
  acceptFencingNumber(fencingNumber: number): boolean;
  /** Notes that the leader was heard just now. */
  onLeaderHeartbeat(fencingNumber: number, isSettled: boolean): void;
  /** Claims the group when its leader has been silent for long enough. */
  claimOrVerify(member: GroupMember): Promise<void>;
  /** Called after this process stood still: it may have been replaced meanwhile. */
  requireVerification(): void;
}

interface LeaderRow {
  readonly revision: number;
  readonly isOwn: boolean;
  readonly host: string | undefined;
  readonly rank: number | undefined;
}

const TABLE = 'group-leaders';
/** Silence of the leader before it is replaced: six of its beats. */
const ELECTION_TIMEOUT_MILLISECONDS = 1000;
/**
 * The same where a hold stands at this rank. A leader that freezes then stops every stream of
 * the group, and callers leave after two seconds; with the usual silence, claim and look a group
 * was held for 2.4 s. The named leader is asked before it is replaced, so haste costs one read.
 */
const HELD_ELECTION_TIMEOUT_MILLISECONDS = 400;
/** Ranks claim one after the other, so that the first is usually alone. */
const RANK_STAGGER_MILLISECONDS = 120;
/**
 * Time after the start before the group is claimed. Where a leader lives it is found by its
 * row, so this only has to cover the start of the others, which takes some 100 ms; after a loss
 * of power the group runs on its first map, 3.5 times too slow, until somebody leads.
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
    logger.info('no longer leading', { fence: ownFencingNumber, reason });
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
    logger.info('leading', { group, fence: revision });
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
    // Datagrams may not have reached this instance yet; the leader named there may well live.
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
    // An unknown outcome is read back with the next try.
    if (written.kind === TransactionKind.Applied) becomeLeader(group, written.revision);
  }

  async function verify(group: string): Promise<void> {
    const row = await readRow(group);
    if (row.isOwn && row.revision === ownFencingNumber) needsVerification = false;
    else stepDown('the row names another');
  }

  return {
    fencingNumber: () => (needsVerification ? undefined : ownFencingNumber),
    previousLeaderRank: () => previousLeaderRank,
    unresponsiveLeaderHost: () => unresponsiveLeaderHost,
    acceptFencingNumber(fencingNumber) {
      if (fencingNumber < highestFencingNumber) return false;
      highestFencingNumber = fencingNumber;
      if (ownFencingNumber !== undefined && fencingNumber > ownFencingNumber)
        stepDown('a newer leader gave an order');
      return true;
    },
    onLeaderHeartbeat(fencingNumber, isSettled) {
      if (fencingNumber < highestFencingNumber) return;
      if (isSettled) settledFencingNumber = fencingNumber;
      highestFencingNumber = fencingNumber;
      lastHeartbeatAt = now();
      if (ownFencingNumber !== undefined && fencingNumber > ownFencingNumber)
        stepDown('a newer leader is heard');
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
        logger.info('leadership not settled', { group, reason: String(thrown) });
      } finally {
        isAttemptRunning = false;
      }
    },
    requireVerification() {
      if (ownFencingNumber === undefined) return;
      needsVerification = true;
      logger.info('leadership doubted', {
        fence: ownFencingNumber,
        reason: 'this process stood still',
      });
    },
  };
}
