import type { RowWrite, Store } from '@lapisbridge/catalog';
import { TransactionKind } from '@lapisbridge/catalog';
import { createSilentLogger } from '@lapisbridge/logger';
import { expect, it } from 'vitest';

import { createLeadership } from './leadership.js';

const DEPTH = 10_000;

/** A store whose row of the group's leader has this value, in revision 7. */
function storeWith(value: Buffer, writes: RowWrite[]): Store {
  const row = { table: 'group-leaders', part: 'group', key: 'leader', value, revision: 7 };
  return {
    list: () => Promise.resolve({ rows: [row], revision: 7, answeredAt: 0 }),
    feed: () => Promise.reject(new Error('not followed')),
    write(_table, _part, written) {
      writes.push(...written);
      return Promise.resolve({ kind: TransactionKind.Applied, revision: 8 });
    },
  };
}

it.each([
  '',
  '[]',
  'null',
  `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`,
  '['.repeat(DEPTH),
  '{"nonce":{},"host":5,"rank":"x"}',
  '{"nonce":1e400,"host":[],"rank":1e308}',
  '{"host":"a b","rank":-1}',
  '{"host":"127.0.0.1:70000","rank":0.5}',
])('claims its group whose leader’s row is odd (case %#)', async (text) => {
  let time = 0;
  const writes: RowWrite[] = [];
  const leadership = createLeadership({
    store: storeWith(Buffer.from(text), writes),
    instanceId: 'sidecar',
    logger: createSilentLogger(),
    host: '127.0.0.1',
    queryLeader: () => Promise.reject(new Error('no answer')),
    now: () => time,
    random: () => 0.5,
  });
  time = 10_000;
  await leadership.claimOrVerify({ group: 'group', rank: 0, isHeld: false });
  expect(writes.map(({ key, expectedRevision }) => [key, expectedRevision])).toEqual([
    ['leader', 7],
  ]);
  expect(leadership.fencingNumber()).toBe(8);
});
