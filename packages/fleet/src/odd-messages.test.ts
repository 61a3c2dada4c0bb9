import { expect, it } from 'vitest';

import { createLoadTable } from './load-table.js';
import { decodeDatagram, MessageKind } from './message.js';
import { packLoads } from './pack-loads.js';

const SIDECAR = ['sidecar', '127.0.0.2', 'sidecar', 'zone-a'];
const STATE = {
  group: 'group',
  rank: 3,
  epoch: 2,
  isOpen: true,
  running: 1,
  waiting: 0,
  pace: 1,
  hasPendingOrder: false,
  backendServerPort: 80,
};
const GROWTH = { epoch: 2, unit: 1, length: 2, bits: 8, levels: 'AQI=' };
const ODD_NUMBERS = ['1e308', '1e400', '-1', '0.5', '9007199254740993', '"3"', '{}', 'null'];

/** The message in a datagram; `json` takes the place of the text "odd". */
function decode(message: unknown, json = '0') {
  const text = JSON.stringify({ from: SIDECAR, sequence: 1, message }).replace('"odd"', json);
  return decodeDatagram(Buffer.from(text))?.message;
}

it('decodes valid reports of ranks', () => {
  expect(decode({ kind: MessageKind.RankState, state: STATE })).toMatchObject({ state: STATE });
});

it.each(
  ['rank', 'epoch', 'backendServerPort'].flatMap((name) =>
    ODD_NUMBERS.map((json) => [name, json] as const),
  ),
)('drops a report of a rank whose %s is %s', (name, json) => {
  const state = { ...STATE, [name]: 'odd' };
  expect(decode({ kind: MessageKind.RankState, state }, json)).toBeUndefined();
});

it('drops a report of a rank too large for a list, which would take all memory to relay', () => {
  // Guards against one report that ends every entry.
  const state = { ...STATE, rank: 4_000_000_000 };
  expect(decode({ kind: MessageKind.RankState, state })).toBeUndefined();
});

it('relays the load of the largest rank in one packet of a few bytes', () => {
  const message = decode({ kind: MessageKind.RankState, state: { ...STATE, rank: 65_535 } });
  if (message?.kind !== MessageKind.RankState) throw new Error('a valid report was dropped');
  const table = createLoadTable(() => 0);
  const [instanceId = '', host = ''] = SIDECAR;
  table.onReport(
    { instanceId, host, role: 'sidecar' as never, availabilityZone: 'a' },
    message.state,
  );
  const [bucket] = packLoads(table.all());
  expect(bucket?.ranks.length).toBeLessThan(1500);
});

it.each(ODD_NUMBERS)('leaves a rank of %s out of a summary and keeps the others', (json) => {
  const good = [1, '127.0.0.1', 80, 1, false];
  const ranks = [['odd', '127.0.0.9', 80, 1, false], good];
  const message = decode({ kind: MessageKind.ZoneSummary, group: 'group', ranks }, json);
  expect(message).toMatchObject({ ranks: [{ rank: 1, host: '127.0.0.1' }] });
});

it.each(
  ['epoch', 'length', 'bits'].flatMap((name) => ODD_NUMBERS.map((json) => [name, json] as const)),
)('drops counts whose %s is %s', (name, json) => {
  const growth = { ...GROWTH, [name]: 'odd' };
  expect(decode({ kind: MessageKind.Growth, group: 'group', growth }, json)).toBeUndefined();
});

it.each(['rank', 'epoch', 'size'])('drops an answer to a leader whose %s is odd', (name) => {
  const report = { group: 'group', rank: 0, epoch: 1, size: 2, [name]: 'odd' };
  for (const json of [...ODD_NUMBERS, '-0.5']) {
    expect(decode({ kind: MessageKind.ReportAnswer, question: 1, report }, json)).toBeUndefined();
  }
});

it.each(['__proto__', 'constructor', 'toString'])(
  'reads a report of a group named %s like any other',
  (group) => {
    const state = { ...STATE, group };
    expect(decode({ kind: MessageKind.RankState, state })).toMatchObject({ state });
  },
);

it.each([10, 1000, 5000])('drops a datagram that is nested %d levels deep', (levels) => {
  const text = `${'{"message":'.repeat(levels)}1${'}'.repeat(levels)}`;
  expect(decodeDatagram(Buffer.from(text))).toBeUndefined();
  const nested = `{"from":${'['.repeat(levels)}${']'.repeat(levels)},"message":${text}}`;
  expect(decodeDatagram(Buffer.from(nested))).toBeUndefined();
});
