import { checkAll, createHistory } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import { beforeEach, describe, expect, it } from 'vitest';

import { createDepartureWatch } from './departure-watch.js';
import type { DepartureWatch } from './departure-watch.js';

describe('requests to a server that has said that it leaves', () => {
  let history: History;
  let watch: DepartureWatch;

  beforeEach(() => {
    history = createHistory();
    watch = createDepartureWatch(history, () => 1000);
  });

  it('break the promise where their callers sent them over two seconds later', () => {
    watch.onStated('server', 'entry');
    watch.onArrival('server', 'entry', 3000);
    expect(checkAll(history.events)).toEqual([]);
    watch.onArrival('server', 'entry', 3001);
    expect(checkAll(history.events)).toMatchObject([{ promise: 'departure' }]);
  });

  it('keep it at other entries, at interrupted ones, and after a restart', () => {
    watch.onStated('server', 'entry');
    watch.onArrival('server', 'other', 9000);
    watch.excuse('entry');
    watch.onArrival('server', 'entry', 9000);
    watch.onStated('server', 'entry');
    watch.onReplaced('server');
    watch.onArrival('server', 'entry', 9000);
    expect(checkAll(history.events)).toEqual([]);
  });

  it('keep it where the answer may not have arrived', () => {
    watch.cut('server');
    watch.onStated('server', 'entry');
    watch.mend('server');
    watch.onArrival('server', 'entry', 9000);
    expect(checkAll(history.events)).toEqual([]);
  });
});
