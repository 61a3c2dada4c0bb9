import { checkAll, createHistory } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import { beforeEach, describe, expect, it } from 'vitest';

import { createBackoffWatch } from './backoff-watch.js';
import type { BackoffWatch } from './backoff-watch.js';

describe('requests within a backoff that a server asked for', () => {
  let now = 0;
  let history: History;
  let watch: BackoffWatch;

  beforeEach(() => {
    now = 0;
    history = createHistory();
    watch = createBackoffWatch(history, () => now);
    watch.onAsked('server', 'entry', 3000);
  });

  function arriveAt(at: number, count: number, entry = 'entry'): void {
    now = at;
    for (let index = 0; index < count; index += 1) watch.onArrival('server', entry);
  }

  it('are two at most, between half a second and the end', () => {
    arriveAt(499, 9);
    arriveAt(500, 2);
    arriveAt(3000, 9);
    expect(checkAll(history.events)).toEqual([]);
  });

  it('break the promise from the third one on', () => {
    arriveAt(500, 1);
    arriveAt(2999, 2);
    expect(checkAll(history.events)).toMatchObject([{ promise: 'backoff' }]);
  });

  it('are counted for each entry, and not for one that was interrupted', () => {
    arriveAt(1000, 2);
    arriveAt(1000, 9, 'other');
    watch.excuse('entry');
    arriveAt(1000, 9);
    expect(checkAll(history.events)).toEqual([]);
  });

  it('are not counted where the answer may not have arrived', () => {
    watch.cut('server');
    watch.onAsked('server', 'entry', 3000);
    arriveAt(1000, 9);
    watch.mend('server');
    watch.onAsked('server', 'entry', 3000);
    arriveAt(2000, 3);
    expect(checkAll(history.events)).toHaveLength(1);
  });
});
