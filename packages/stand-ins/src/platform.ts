/**
 * Stand-in of the platform: table, object store and instance list over HTTP, with faults
 * that can be set while it runs.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { listen, readJson, reply } from './http-server.js';
import { createTableState } from './platform-state.js';
import type { TransactionRequest } from './platform-state.js';

export enum OutageKind {
  None = 'none',
  /** Answers every call with an error. */
  Errors = 'errors',
  /** Takes calls and never answers. */
  Silent = 'silent',
}

/** Set by `POST /faults`; a field left out stays as it is. */
export interface PlatformFaults {
  readonly outage: OutageKind;
  readonly delayMilliseconds: number;
  /** That many writes take effect and lose their answer. */
  readonly loseWriteAnswers: number;
  /** That many transactions whose keys contain this text lose their answer. */
  readonly loseOnlyKeys: string;
}

export interface PlatformOptions {
  readonly host: string;
  readonly port: number;
  readonly listLagMilliseconds: number;
}

interface ListedRow {
  readonly record: { readonly instanceId: string; readonly environment: string };
  readonly state: string;
}

export async function startPlatform(options: PlatformOptions): Promise<void> {
  const table = createTableState();
  const objects = new Map<string, unknown>();
  const listed = new Map<string, ListedRow>();
  const counts = { writes: 0, reads: 0 };
  let faults: PlatformFaults = {
    outage: OutageKind.None,
    delayMilliseconds: 0,
    loseWriteAnswers: 0,
    loseOnlyKeys: '',
  };

  function losesAnswer(transactions: readonly TransactionRequest[]): boolean {
    if (faults.loseWriteAnswers <= 0) return false;
    const matches = transactions.some(({ puts }) =>
      puts.some(({ key }) => key.includes(faults.loseOnlyKeys)),
    );
    if (matches) faults = { ...faults, loseWriteAnswers: faults.loseWriteAnswers - 1 };
    return matches;
  }

  async function transact(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { transactions } = (await readJson(request)) as { transactions: TransactionRequest[] };
    counts.writes += 1;
    const results = transactions.map((transaction) => table.apply(transaction));
    if (losesAnswer(transactions)) response.destroy();
    else reply(response, 200, { results });
  }

  function readRows(url: URL, response: ServerResponse): void {
    counts.reads += 1;
    const prefix = url.searchParams.get('prefix');
    if (prefix !== null) {
      reply(response, 200, table.list(prefix));
      return;
    }
    const row = table.read(decodeURIComponent(url.pathname.slice('/table/rows/'.length)));
    reply(response, row === null ? 404 : 200, row);
  }

  async function handleObject(
    request: IncomingMessage,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    const key = decodeURIComponent(url.pathname.slice('/objects/'.length));
    if (request.method === 'PUT') {
      objects.set(key, await readJson(request));
      reply(response, 200, {});
      return;
    }
    reply(response, objects.has(key) ? 200 : 404, objects.get(key) ?? null);
  }

  async function handleInstances(
    request: IncomingMessage,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'POST') {
      const rows = (await readJson(request)) as ListedRow[];
      setTimeout(() => {
        for (const row of rows) listed.set(row.record.instanceId, row);
      }, options.listLagMilliseconds);
      reply(response, 200, {});
      return;
    }
    const environment = url.searchParams.get('environment');
    const rows = [...listed.values()].filter((row) => row.record.environment === environment);
    reply(response, 200, rows);
  }

  async function handleControl(
    request: IncomingMessage,
    url: URL,
    response: ServerResponse,
  ): Promise<boolean> {
    if (url.pathname === '/faults' && request.method === 'POST') {
      faults = { ...faults, ...((await readJson(request)) as Partial<PlatformFaults>) };
      reply(response, 200, faults);
      return true;
    }
    if (url.pathname !== '/counts') return false;
    reply(response, 200, counts);
    return true;
  }

  await listen(options.host, options.port, async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://platform');
    if (await handleControl(request, url, response)) return;
    if (faults.outage === OutageKind.Silent) return;
    if (faults.outage === OutageKind.Errors) {
      reply(response, 503, { error: 'outage' });
      return;
    }
    if (faults.delayMilliseconds > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, faults.delayMilliseconds);
      });
    }
    if (url.pathname === '/table/transactions') await transact(request, response);
    else if (url.pathname.startsWith('/table/rows')) readRows(url, response);
    else if (url.pathname.startsWith('/objects/')) await handleObject(request, url, response);
    else if (url.pathname === '/instances') await handleInstances(request, url, response);
    else reply(response, 404, { error: 'not found' });
  });
}
