/**
 * Keeps an entry's catalog: the store's two tables, followed, and other entries' copies of them
 * while the store does not answer this one. A store that turns some instances away still serves
 * the operators, so a removed key or a new route may be known to others only.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import {
  createReaderWatch,
  decodeCopy,
  decodeCopyWord,
  dropReplaced,
  encodeCopy,
  followTable,
  LAPSE_MILLISECONDS,
  retainLapsed,
} from '@lapisbridge/catalog';
import type {
  Catalog,
  CopyWord,
  LivingEntries,
  ServerList,
  Store,
  TableFollower,
} from '@lapisbridge/catalog';
import { callJson } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import { monotonicClock } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';
import type { Logger } from '@lapisbridge/logger';

import type { TableAdapter, TableRows } from './adapters.js';

/** A change is told at once; without one the call returns after this, which shows it lives. */
const OPERATORS_WAIT_MILLISECONDS = 2500;
/** Servers' rows change several times a second; a server that leaves must be seen within 2 s. */
const SERVERS_PAUSE_MILLISECONDS = 900;
const SERVERS_WAIT_MILLISECONDS = 300;
/** Silence of the store after which a copy is asked of another entry. */
const OPERATORS_SILENCE_MILLISECONDS = OPERATORS_WAIT_MILLISECONDS + 300;
const SERVERS_SILENCE_MILLISECONDS = 1700;
const ASK_MILLISECONDS = 300;
const ANSWER_MILLISECONDS = 400;
/** Knowledge older than this may lack what operators have added since. */
const OUTDATED_MILLISECONDS = 4000;
/** Silence of the store in which rows of living servers may lapse: a heartbeat and more. */
const OUTAGE_MILLISECONDS = 1500;

/**
 * Longest silence of the store at which an entry that reads the servers' table counts as up to
 * date: one pause, one wait and an answer. With the next word and a call by whoever then reads
 * the table itself, a server that leaves is known within 2 s also when all readers hang.
 */
const CURRENT_MILLISECONDS = 1400;
/** A reader's word older than this confirms nothing; it is repeated each half second. */
const CONFIRMED_MILLISECONDS = 1100;

export interface KnowledgeOptions {
  readonly instanceId: string;
  /** Kept up to date. */
  readonly catalog: Catalog;
  readonly store: Store;
  readonly tables: TableAdapter;
  readonly logger: Logger;
  readonly random: Random;
  readonly host: string;
  readonly port: number;
  /** Hosts of entries that live. */
  peerHosts(): readonly string[];
  /** Other entries that live. */
  living(): LivingEntries;
  /** Called when this entry has news for the others of its zone. */
  onNews(): void;
}

export interface Knowledge {
  start(): void;
  /** What is told to the other entries of the zone. */
  describe(): JsonObject;
  /** Takes what another entry of the zone tells. */
  heard(entry: string, host: string, state: JsonObject): void;
  /** Whether operators may have added what this entry does not know. */
  isOutdated(): boolean;
}

enum Table {
  /** What operators ask for. */
  Operators = 'operators',
  Servers = 'servers',
}

/** Changes with everything but heartbeats. */
function fingerprintOf({ servers }: ServerList): string {
  return JSON.stringify([...servers.values()]);
}

export function createKnowledge(options: KnowledgeOptions): Knowledge {
  const { store, logger, random, tables, catalog } = options;
  let storeReachable = true;
  let storeLostAt = Infinity;
  let returnedAt = -Infinity;
  let confirmedAt = -Infinity;
  const readers = createReaderWatch(options.instanceId, monotonicClock);
  const asking = new Set<Table>();
  let serversFingerprint = '';
  /** Revision of the last list that differed in more than heartbeats. */
  let serversChangedAt = 0;

  function noteContact(succeeded: boolean, reason: string): void {
    if (succeeded === storeReachable) return;
    storeReachable = succeeded;
    if (succeeded && monotonicClock() - storeLostAt > OUTAGE_MILLISECONDS) {
      returnedAt = monotonicClock();
      setTimeout(dropLapsed, LAPSE_MILLISECONDS);
    }
    storeLostAt = succeeded ? Infinity : monotonicClock();
    logger.info(succeeded ? 'store regained' : 'store lost', { reason });
  }

  function takeServers(rows: TableRows, revision: number): void {
    const listed = tables.decodeServers(rows, revision);
    const servers = retainLapsed({
      before: catalog.servers().servers,
      listed: dropReplaced(listed.servers),
      sinceReturn: monotonicClock() - returnedAt,
    });
    catalog.replaceServers({ revision, servers });
    const fingerprint = fingerprintOf(listed);
    if (fingerprint === serversFingerprint) return;
    serversFingerprint = fingerprint;
    serversChangedAt = revision;
    options.onNews();
  }

  /** Whether another entry of the zone reads the servers' table for this one. */
  function mayRest(): boolean {
    if (readers.isReader(options.living()) || !storeReachable) return false;
    const revision = followers[Table.Servers].copy()?.revision ?? 0;
    return readers.sinceConfirmed(revision) < CONFIRMED_MILLISECONDS;
  }

  /** The time is up for servers that had only lapsed. */
  function dropLapsed(): void {
    const copy = followers[Table.Servers].copy();
    if (copy !== undefined) takeServers(copy.rows, copy.revision);
  }

  const shared = { store, part: '', random, now: monotonicClock, onContact: noteContact };
  const followers: Readonly<Record<Table, TableFollower>> = {
    [Table.Operators]: followTable({
      ...shared,
      table: tables.operatorsTable,
      // Followed by everyone: one call lasts for seconds, and a removed key must be known at once.
      mayRest: () => false,
      waitMilliseconds: OPERATORS_WAIT_MILLISECONDS,
      pauseMilliseconds: 0,
      onRows(rows, revision) {
        const orders = tables.decodeOperators(rows, revision);
        catalog.replaceOperators(orders);
        logger.info('configuration in force', {
          version: catalog.operators().configuration?.version,
          revision,
          drainedZones: [...orders.drainedZones],
        });
      },
    }),
    [Table.Servers]: followTable({
      ...shared,
      table: tables.serversTable,
      mayRest,
      waitMilliseconds: SERVERS_WAIT_MILLISECONDS,
      pauseMilliseconds: SERVERS_PAUSE_MILLISECONDS,
      onRows: takeServers,
    }),
  };

  async function ask(table: Table, host: string): Promise<void> {
    if (asking.has(table)) return;
    asking.add(table);
    const since = followers[table].copy()?.revision ?? 0;
    try {
      const answer = await callJson({
        host,
        port: options.port,
        method: 'GET',
        path: `/copy/${table}?since=${since}`,
        body: undefined,
        timeoutMilliseconds: ANSWER_MILLISECONDS,
      });
      const list = decodeCopy(answer.body, table, '');
      if (list === undefined) return;
      if (table === Table.Operators && answer.body.isCurrent === true) {
        confirmedAt = monotonicClock();
      }
      if (followers[table].adopt(list)) {
        logger.info('copy taken from a peer', { table, host, revision: list.revision });
      }
    } catch (thrown) {
      logger.debug('peer gave no copy', { table, host, reason: String(thrown) });
    } finally {
      asking.delete(table);
    }
  }

  function isSilent(table: Table, longest: number): boolean {
    const follower = followers[table];
    return follower.isFailing() || follower.silence() > longest;
  }

  function askWhereSilent(): void {
    const hosts = options.peerHosts();
    const host = hosts[Math.floor(random() * hosts.length)];
    if (host === undefined) return;
    if (isSilent(Table.Operators, OPERATORS_SILENCE_MILLISECONDS)) {
      void ask(Table.Operators, host);
    }
    if (!mayRest() && isSilent(Table.Servers, SERVERS_SILENCE_MILLISECONDS)) {
      void ask(Table.Servers, host);
    }
  }

  /** Answers other entries: a newer copy, or none. */
  function serveCopies(): Server {
    const server = createServer((incoming, response) => {
      incoming.resume();
      const url = new URL(incoming.url ?? '/', 'http://peer');
      const table = url.pathname.replace('/copy/', '');
      const isKnown = Object.values<string>(Table).includes(table);
      const follower = isKnown ? followers[table as Table] : undefined;
      const copy = follower?.copy();
      if (copy === undefined) {
        response.writeHead(404);
        response.end();
        return;
      }
      const isNewer = copy.revision > Number(url.searchParams.get('since') ?? 0);
      const body = isNewer ? encodeCopy(copy.rows, copy.revision) : { revision: 0, rows: [] };
      const isCurrent = (follower?.silence() ?? Infinity) < OPERATORS_SILENCE_MILLISECONDS;
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ ...body, isCurrent }));
    });
    server.on('error', (error) => logger.error('copies not served', { reason: error.message }));
    return server.listen(options.port, options.host);
  }

  return {
    start() {
      serveCopies();
      for (const follower of Object.values(followers)) follower.start();
      setInterval(askWhereSilent, ASK_MILLISECONDS);
    },
    describe() {
      const isCurrent = !isSilent(Table.Servers, CURRENT_MILLISECONDS);
      const word: CopyWord = { revision: serversChangedAt, isCurrent };
      return { servers: word };
    },
    heard(entry, host, state) {
      const word = decodeCopyWord(state.servers);
      if (word === undefined) return;
      readers.heard(entry, word);
      const known = followers[Table.Servers].copy()?.revision ?? 0;
      if (word.isCurrent && word.revision > known) void ask(Table.Servers, host);
    },
    isOutdated() {
      const sinceConfirmed = monotonicClock() - confirmedAt;
      const silence = Math.min(followers[Table.Operators].silence(), sinceConfirmed);
      return silence > OUTDATED_MILLISECONDS;
    },
  };
}
