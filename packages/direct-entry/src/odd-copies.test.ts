import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { StoreRow } from '@lapisbridge/catalog';
import { afterEach, expect, it } from 'vitest';

import { createCopyResponder, fetchCopy, FollowedTable } from './copy-exchange.js';
import { decodeQuarantineRows, planQuarantineRows } from './plan-quarantine-rows.js';

const HOST = '127.0.0.1';
const DEPTH = 10_000;

/** Values of rows by key; a key of the store is any text. */
const ODD_VALUES: Readonly<Record<string, Buffer>> = {
  deep: Buffer.from(`${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`),
  unclosed: Buffer.from('['.repeat(DEPTH)),
  bytes: Buffer.from([0, 255, 254, 10, 34, 92]),
  empty: Buffer.alloc(0),
  number: Buffer.from('{"at":1e400,"crashes":1e308}'),
  types: Buffer.from('{"at":{},"crashes":[[]],"cleared":[[[]],5,null],"quarantined":"x"}'),
  ages: Buffer.from('{"at":1e308,"crashes":[{"server":"a","age":-1e308}]}'),
};
const ODD_KEYS = ['constructor', 'toString', 'a\r\nb', '"', 'žlutý', '\u{1f600}', 'k'.repeat(200)];

function rowsWithin(prefix: string): Map<string, StoreRow> {
  const rows = new Map<string, StoreRow>();
  const add = (name: string, value: Buffer): void => {
    const key = `${prefix}${name}`;
    rows.set(key, { table: 'servers', part: '', key, value, revision: rows.size + 1 });
  };
  for (const [name, value] of Object.entries(ODD_VALUES)) add(name, value);
  for (const name of ['__proto__', ...ODD_KEYS]) add(name, Buffer.from('{"at":1}'));
  return rows;
}

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

it('an entry fetches a copy with odd rows as the other one has it', async () => {
  const rows = rowsWithin('');
  const respond = createCopyResponder({
    copy: () => ({ rows, revision: 40 }),
    freshness: () => ({ revision: 40, fingerprint: 'print', confirmedAt: 5 }),
  });
  const started = createServer((incoming, response) => {
    respond(incoming, response);
  });
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, HOST, resolve);
  });
  const { port } = started.address() as AddressInfo;
  const fetched = await fetchCopy(HOST, port, FollowedTable.Servers, 0);
  expect(fetched?.list.revision).toBe(40);
  expect(fetched?.list.rows).toEqual([...rows.values()]);
});

it('an entry reads its rows about crashes beside odd ones, and writes on', () => {
  const good = 'quarantined/ab12';
  const evidence = { table: 'prompt-crashes', part: '', revision: 3 };
  for (const [name, value] of Object.entries(ODD_VALUES)) {
    const rows = rowsWithin('quarantined/');
    rows.set('evidence', { ...evidence, key: 'evidence', value });
    rows.set(good, { ...evidence, key: good, value: Buffer.from('{"at":900}') });
    const stored = decodeQuarantineRows(rows, (storeTime) => 1000 - storeTime);
    const { quarantined } = stored.statements;
    expect(quarantined, name).toContainEqual({ cause: 'ab12', ageMilliseconds: 100 });
    const known = { crashes: [], cleared: [], released: [], quarantined };
    const written = planQuarantineRows(
      { ...known, quarantined: [...quarantined, { cause: 'cd34', ageMilliseconds: 10 }] },
      stored,
      1000,
    );
    expect(
      written.map(({ key }) => key),
      name,
    ).toContain('quarantined/cd34');
  }
});
