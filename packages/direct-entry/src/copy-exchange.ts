/**
 * Exchange of table copies between entries over HTTP: an entry serves its own copies and fetches
 * newer ones from others.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { decodeCopy, encodeCopy } from '@lapisbridge/catalog';
import type { FreshnessReport, RowList, StoreRow } from '@lapisbridge/catalog';
import { callJson, numberOf, textOf } from '@lapisbridge/json-call';

/** The tables that entries follow; the values are part of the URL of a copy. */
export enum FollowedTable {
  /** Configuration and drained availability zones. */
  Operators = 'operators',
  /** Registered backend servers. */
  Servers = 'servers',
}

/** A copy that is complete as of its revision; rows are by key. */
export interface TableCopy {
  readonly rows: ReadonlyMap<string, StoreRow>;
  readonly revision: number;
}

/** Response of another entry to a request for its copy. */
export interface FetchedCopy {
  /** Empty with revision 0 if the other entry's copy is not newer. */
  readonly list: RowList;
  /** Fingerprint of the other entry's copy, newer or not. */
  readonly fingerprint: string;
  /**
   * When the store confirmed that copy, in milliseconds of the store's clock; undefined if it has
   * not.
   */
  readonly confirmedAt: number | undefined;
}

const COPY_PATH = '/copy/';
const FETCH_TIMEOUT_MILLISECONDS = 400;
const TABLES: readonly string[] = Object.values(FollowedTable);

/**
 * Fetches another entry's copy if it is newer than a revision. Resolves to undefined if the
 * response is not a valid copy; rejects if there is no response.
 */
export async function fetchCopy(
  host: string,
  port: number,
  table: FollowedTable,
  since: number,
): Promise<FetchedCopy | undefined> {
  const answer = await callJson({
    host,
    port,
    method: 'GET',
    path: `${COPY_PATH}${table}?since=${since}`,
    body: undefined,
    timeoutMilliseconds: FETCH_TIMEOUT_MILLISECONDS,
  });
  const list = decodeCopy(answer.body, table, '');
  if (list === undefined) return undefined;
  return {
    list,
    fingerprint: textOf(answer.body, 'fingerprint') ?? '',
    confirmedAt: numberOf(answer.body, 'confirmedAt'),
  };
}

/** Access to the copies of this entry. */
export interface CopyResponderOptions {
  /** Undefined before the table was first read. */
  copy(table: FollowedTable): TableCopy | undefined;
  /** This entry's report on its copy; undefined if the store has not confirmed it. */
  freshness(table: FollowedTable): FreshnessReport | undefined;
}

interface EncodedCopy {
  readonly revision: number;
  readonly text: string;
}

/** Handles a request for a copy; returns false if the path is not that of a copy. */
export type CopyResponder = (incoming: IncomingMessage, response: ServerResponse) => boolean;

/** Creates the handler of requests for copies; unknown or unread tables are answered with 404. */
export function createCopyResponder(options: CopyResponderOptions): CopyResponder {
  const encoded = new Map<FollowedTable, EncodedCopy>();

  /** Caches the encoding: all entries of a zone fetch the same revision within milliseconds. */
  function encode(table: FollowedTable, { rows, revision }: TableCopy): string {
    const cached = encoded.get(table);
    if (cached?.revision === revision) return cached.text;
    const text = JSON.stringify(encodeCopy(rows, revision).rows);
    encoded.set(table, { revision, text });
    return text;
  }

  return (incoming, response) => {
    const url = new URL(incoming.url ?? '/', 'http://entry');
    if (!url.pathname.startsWith(COPY_PATH)) return false;
    incoming.resume();
    const name = url.pathname.replace(COPY_PATH, '');
    const table = TABLES.includes(name) ? (name as FollowedTable) : undefined;
    const copy = table === undefined ? undefined : options.copy(table);
    if (table === undefined || copy === undefined) {
      response.writeHead(404);
      response.end();
      return true;
    }
    const isNewer = copy.revision > Number(url.searchParams.get('since') ?? 0);
    const rows = isNewer ? encode(table, copy) : '[]';
    const revision = isNewer ? copy.revision : 0;
    const head = JSON.stringify({ ...options.freshness(table), revision });
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(`${head.slice(0, -1)},"rows":${rows}}`);
    return true;
  };
}
