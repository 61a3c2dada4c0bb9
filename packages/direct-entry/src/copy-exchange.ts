/**
 * Copies of the store's tables between entries: served to those that ask, fetched from those that
 * have newer ones.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { decodeCopy, encodeCopy } from '@lapisbridge/catalog';
import type { FreshnessReport, RowList, StoreRow } from '@lapisbridge/catalog';
import { callJson, numberOf, textOf } from '@lapisbridge/json-call';

export enum FollowedTable {
  /** What operators ask for. */
  Operators = 'operators',
  Servers = 'servers',
}

export interface TableCopy {
  readonly rows: ReadonlyMap<string, StoreRow>;
  readonly revision: number;
}

export interface FetchedCopy {
  /** Empty with revision 0 when the other entry has nothing newer. */
  readonly list: RowList;
  /** Of the other entry's copy, newer or not. */
  readonly fingerprint: string;
  /** When the store confirmed that copy, by its clock; undefined where it did not. */
  readonly confirmedAt: number | undefined;
}

const COPY_PATH = '/copy/';
const FETCH_TIMEOUT_MILLISECONDS = 400;
const TABLES: readonly string[] = Object.values(FollowedTable);

/** Undefined where the answer is no copy. Rejects when no answer came. */
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

export interface CopyResponderOptions {
  copy(table: FollowedTable): TableCopy | undefined;
  /** What this entry reports of its copy; undefined where the store has not confirmed it. */
  freshness(table: FollowedTable): FreshnessReport | undefined;
}

interface EncodedCopy {
  readonly revision: number;
  readonly text: string;
}

/** Answers a request for a copy; false where the path is none of a copy. */
export type CopyResponder = (incoming: IncomingMessage, response: ServerResponse) => boolean;

export function createCopyResponder(options: CopyResponderOptions): CopyResponder {
  const encoded = new Map<FollowedTable, EncodedCopy>();

  /** All entries of a zone fetch the same revision within milliseconds: it is encoded once. */
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
