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
  ask(host: string): Promise<number | undefined>;
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
  fence(): number | undefined;
  /** Rank of the leader before this one, if it was heard to have seen the group free. */
  formerRank(): number | undefined;
  /** Host of the leader before this one, if it did not answer when it was replaced. */
  silentHost(): string | undefined;
  /** Takes note of another leader's number; false when a higher one is known. */
  accept(fence: number): boolean;
  /** Notes that the leader was heard just now. */
  heard(fence: number, isSettled: boolean): void;
  /** Claims the group when its leader has been silent for long enough. */
  tend(member: GroupMember): Promise<void>;
  /** Called after this process stood still: it may have been replaced meanwhile. */
  doubt(): void;
}

interface LeaderRow {
  readonly revision: number;
  readonly isOwn: boolean;
  readonly host: string | undefined;
  readonly rank: number | undefined;
}

const TABLE = 'group-leaders';
/** Silence of the leader before it is replaced: six of its beats. */
const SILENT_MILLISECONDS = 1000;
/**
 * The same where a hold stands at this rank. A leader that freezes then stops every stream of
 * the group, and callers leave after two seconds; with the usual silence, claim and look a group
 * was held for 2.4 s. The named leader is asked before it is replaced, so haste costs one read.
 */
const HELD_SILENT_MILLISECONDS = 400;
/** Ranks claim one after the other, so that the first is usually alone. */
const STAGGER_MILLISECONDS = 120;
/**
 * Time after the start before the group is claimed. Where a leader lives it is found by its
 * row, so this only has to cover the start of the others, which takes some 100 ms; after a loss
 * of power the group runs on its first map, 3.5 times too slow, until somebody leads.
 */
const START_MILLISECONDS = 300;
const RETRY_MILLISECONDS = 600;

export function createLeadership(options: LeadershipOptions): Leadership {
  const { store, instanceId, logger, now } = options;
  const startedAt = now();
  const nonce = `${instanceId}/${Math.floor(options.random() * 2 ** 31).toString(36)}`;
  let own: number | undefined;
  let highest = 0;
  let heardAt = startedAt + START_MILLISECONDS - SILENT_MILLISECONDS;
  let nextClaimAt = 0;
  let claiming = false;
  let isDoubted = false;
  let formerRank: number | undefined;
  let silentHost: string | undefined;
  let settledFence = 0;

  function stepDown(reason: string): void {
    if (own === undefined) return;
    logger.info('no longer leading', { fence: own, reason });
    own = undefined;
    isDoubted = false;
    heardAt = now();
  }

  async function readRow(group: string): Promise<LeaderRow> {
    const { rows } = await store.list(TABLE, group);
    const row = rows.find(({ key }) => key === 'leader');
    const value = row?.value === undefined ? undefined : parseObject(row.value);
    const host = value === undefined ? undefined : textOf(value, 'host');
    const rank = value === undefined ? undefined : numberOf(value, 'rank');
    return { revision: row?.revision ?? 0, isOwn: value?.nonce === nonce, host, rank };
  }

  function lead(group: string, revision: number): void {
    own = revision;
    highest = Math.max(highest, revision);
    isDoubted = false;
    logger.info('leading', { group, fence: revision });
  }

  async function askFormer(host: string | undefined): Promise<number | undefined> {
    silentHost = undefined;
    if (host === undefined) return undefined;
    try {
      return await options.ask(host);
    } catch {
      silentHost = host;
      return undefined;
    }
  }

  async function claim(group: string, rank: number): Promise<void> {
    const before = await readRow(group);
    if (before.isOwn) {
      lead(group, before.revision);
      return;
    }
    // Datagrams may not have reached this instance yet; the leader named there may well live.
    const living = await askFormer(before.host);
    if (living === before.revision) {
      heardAt = now();
      highest = Math.max(highest, living);
      return;
    }
    formerRank = before.revision === settledFence ? before.rank : undefined;
    const written = await store.write(TABLE, group, [
      {
        key: 'leader',
        value: Buffer.from(JSON.stringify({ nonce, host: options.host, rank })),
        expectedRevision: before.revision,
      },
    ]);
    // An unknown outcome is read back with the next try.
    if (written.kind === TransactionKind.Applied) lead(group, written.revision);
  }

  async function verify(group: string): Promise<void> {
    const row = await readRow(group);
    if (row.isOwn && row.revision === own) isDoubted = false;
    else stepDown('the row names another');
  }

  return {
    fence: () => (isDoubted ? undefined : own),
    formerRank: () => formerRank,
    silentHost: () => silentHost,
    accept(fence) {
      if (fence < highest) return false;
      highest = fence;
      if (own !== undefined && fence > own) stepDown('a newer leader gave an order');
      return true;
    },
    heard(fence, isSettled) {
      if (fence < highest) return;
      if (isSettled) settledFence = fence;
      highest = fence;
      heardAt = now();
      if (own !== undefined && fence > own) stepDown('a newer leader is heard');
    },
    async tend({ group, rank, isHeld }) {
      if (claiming || now() < nextClaimAt) return;
      const silence = now() - heardAt;
      const usual = SILENT_MILLISECONDS + rank * STAGGER_MILLISECONDS;
      const isDue = silence > (isHeld ? HELD_SILENT_MILLISECONDS : usual);
      if (own === undefined && !isDue) return;
      if (own !== undefined && !isDoubted) return;
      claiming = true;
      nextClaimAt = now() + RETRY_MILLISECONDS * (0.5 + options.random());
      try {
        if (own === undefined) await claim(group, rank);
        else await verify(group);
      } catch (thrown) {
        logger.info('leadership not settled', { group, reason: String(thrown) });
      } finally {
        claiming = false;
      }
    },
    doubt() {
      if (own === undefined) return;
      isDoubted = true;
      logger.info('leadership doubted', { fence: own, reason: 'this process stood still' });
    },
  };
}
