import { describe, expect, it } from 'vitest';

import { createCatalog } from './catalog.js';
import { followTable } from './follow-table.js';
import { retainExpiredServers } from './retain-expired-servers.js';
import { createStoreClock } from './store-clock.js';
import { FeedKind } from './store.js';
import type { Feed, RowList, Store, StoreRow } from './store.js';
import { decodeCopy, encodeCopy } from './table-copy.js';
import type { BackendServer, Configuration } from './types.js';

function configuration(version: number): Configuration {
  return {
    version,
    routes: [],
    services: new Map(),
    accountsByKey: undefined,
    limits: { maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
}

function server(instanceId: string, port: number): BackendServer {
  return {
    instanceId,
    service: 'service',
    host: '127.0.0.1',
    port,
    availabilityZone: 'zone',
    slots: 1,
    draining: false,
    groupRank: undefined,
    startedAt: undefined,
  };
}

function row(key: string, value: string | undefined, revision: number): StoreRow {
  const bytes = value === undefined ? undefined : Buffer.from(value);
  return { table: 'table', part: '', key, value: bytes, revision };
}

describe('a catalog', () => {
  it('never goes back to an older configuration', () => {
    // Guards against a lagging peer, or a stale read of the store, that restores a removed API key.
    const catalog = createCatalog();
    const drainedZones = new Set<string>();
    catalog.replaceOperatorState({ revision: 5, configuration: configuration(7), drainedZones });
    expect(
      catalog.replaceOperatorState({ revision: 4, configuration: configuration(6), drainedZones }),
    ).toBe(false);
    catalog.replaceOperatorState({ revision: 6, configuration: configuration(6), drainedZones });
    expect(catalog.operatorState().configuration?.version).toBe(7);
  });

  it('keeps its configuration when the row becomes invalid', () => {
    const catalog = createCatalog();
    const drainedZones = new Set<string>();
    catalog.replaceOperatorState({ revision: 5, configuration: configuration(7), drainedZones });
    catalog.replaceOperatorState({ revision: 6, configuration: undefined, drainedZones });
    expect(catalog.operatorState().configuration?.version).toBe(7);
  });
});

describe('servers whose rows expired during an outage of the store', () => {
  const before = new Map([
    ['one', server('one', 1)],
    ['two', server('two', 2)],
  ]);

  it('are kept until they have had time to register again', () => {
    // Guards against rejecting requests for two seconds after an outage longer than the lifetime of
    // a row: the first list lacks servers that are idle.
    const listed = new Map([['one', server('one', 1)]]);
    expect([...retainExpiredServers({ before, listed, isIncomplete: true }).keys()]).toEqual([
      'one',
      'two',
    ]);
    const after = retainExpiredServers({ before, listed, isIncomplete: false });
    expect([...after.keys()]).toEqual(['one']);
  });

  it('are dropped if they were draining or another server has their address', () => {
    const leaving = new Map([['two', { ...server('two', 2), draining: true }]]);
    expect(
      retainExpiredServers({ before: leaving, listed: new Map(), isIncomplete: true }).size,
    ).toBe(0);
    const listed = new Map([['three', server('three', 2)]]);
    expect(retainExpiredServers({ before, listed, isIncomplete: true }).has('two')).toBe(false);
  });
});

type FeedScript =
  { readonly kind: FeedKind.HistoryGone } | ({ readonly kind: FeedKind.Changes } & RowList);

const noAnswer = (): void => undefined;

/** A store that returns prepared responses, one after the other. */
function scriptedStore(lists: RowList[], feeds: (FeedScript | Error)[]): Store {
  return {
    list: async () => ({ ...(lists.shift() ?? { rows: [], revision: 0 }), answeredAt: 0 }),
    async feed() {
      const next = feeds.shift();
      if (next instanceof Error) throw next;
      if (next === undefined) return new Promise<Feed>(noAnswer);
      return next.kind === FeedKind.Changes ? { ...next, answeredAt: 0 } : next;
    },
    write: async () => {
      throw new Error('not used');
    },
  };
}

async function followScript(lists: RowList[], feeds: (FeedScript | Error)[]): Promise<string[]> {
  const seen: string[] = [];
  let finished: () => void = () => undefined;
  const isFinished = new Promise<void>((resolve) => {
    finished = resolve;
  });
  const follower = followTable({
    store: scriptedStore(lists, feeds),
    table: 'table',
    part: '',
    longPollMilliseconds: () => 1,
    pauseMilliseconds: () => 0,
    maximumRetryMilliseconds: () => 800,
    delegatedMilliseconds: () => 0,
    random: () => 0,
    clock: createStoreClock(() => 0),
    now: () => 0,
    onRows(rows, revision) {
      seen.push(`${revision}:${[...rows.keys()].join(',')}`);
    },
    onStoreResult() {
      if (lists.length === 0 && feeds.length === 0) finished();
    },
  });
  follower.start();
  await isFinished;
  follower.stop();
  return seen;
}

describe('following a table', () => {
  it('applies changes and removals in order', async () => {
    const seen = await followScript(
      [{ rows: [row('a', 'x', 1)], revision: 2 }],
      [
        { kind: FeedKind.Changes, rows: [row('b', 'y', 3)], revision: 3 },
        { kind: FeedKind.Changes, rows: [row('a', undefined, 4)], revision: 4 },
      ],
    );
    expect(seen).toEqual(['2:a', '3:a,b', '4:b']);
  });

  it('lists the table again when the change history is gone', async () => {
    // Guards against keeping a server forever because its removal was in the history that the store
    // has dropped, and the follower continued from the newest revision.
    const seen = await followScript(
      [
        { rows: [row('a', 'x', 1), row('b', 'x', 2)], revision: 2 },
        { rows: [row('b', 'x', 2)], revision: 9 },
      ],
      [{ kind: FeedKind.HistoryGone }],
    );
    expect(seen).toEqual(['2:a,b', '9:b']);
  });

  it('rejects a list that is older than its copy', async () => {
    const seen = await followScript(
      [
        { rows: [row('a', 'x', 5)], revision: 5 },
        { rows: [], revision: 3 },
        { rows: [row('a', 'x', 5)], revision: 6 },
      ],
      [{ kind: FeedKind.HistoryGone }],
    );
    expect(seen).toEqual(['5:a', '6:a']);
  });

  it('continues after a failed call', async () => {
    const seen = await followScript(
      [{ rows: [row('a', 'x', 1)], revision: 1 }],
      [new Error('no answer'), { kind: FeedKind.Changes, rows: [row('b', 'y', 2)], revision: 2 }],
    );
    expect(seen).toEqual(['1:a', '2:a,b']);
  });
});

describe('a copy for another entry', () => {
  it('is unchanged by encoding and decoding', () => {
    const rows = new Map([['a', row('a', 'bytes', 4)]]);
    const copy = decodeCopy(JSON.parse(JSON.stringify(encodeCopy(rows, 7))), 'table', '');
    expect(copy).toEqual({ rows: [row('a', 'bytes', 4)], revision: 7 });
  });

  it('is rejected if it is malformed', () => {
    expect(decodeCopy({ revision: 'x' }, 'table', '')).toBeUndefined();
    expect(decodeCopy({ revision: 1, rows: [{ key: 3 }] }, 'table', '')).toBeUndefined();
  });
});
