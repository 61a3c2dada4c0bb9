import { checkAll, createHistory } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import { beforeEach, describe, expect, it } from 'vitest';

import { createCrashWatch } from './crash-watch.js';
import type { CrashWatch } from './crash-watch.js';

describe('requests with a prompt part that crashes servers', () => {
  let now = 0;
  let history: History;
  let watch: CrashWatch;

  beforeEach(() => {
    now = 0;
    history = createHistory();
    watch = createCrashWatch(history, () => now);
    for (let sent = 0; sent < 30; sent += 1) watch.onSoundEnd('entry', 'stream', now, true);
    now = 10_000;
    watch.onBegin('bad', 'stream');
  });

  function crash(times: number): void {
    for (let count = 0; count < times; count += 1) watch.onCrash('bad');
  }

  function arrive(times: number, part = 'bad'): void {
    for (let count = 0; count < times; count += 1) watch.onArrival('server', 'entry', ['aa', part]);
  }

  function findBroken(): string[] {
    watch.conclude();
    return checkAll(history.events).map(({ promise }) => promise);
  }

  it('may reach servers three times once entries should know the part', () => {
    crash(5);
    now += 3000;
    arrive(9);
    now += 1;
    arrive(3);
    expect(findBroken()).toEqual([]);
  });

  it('break the promise from the fourth one on', () => {
    crash(5);
    now += 3001;
    arrive(4);
    expect(findBroken()).toEqual(['crashing part']);
  });

  it('are not counted after fewer crashes, with another part or of an interrupted entry', () => {
    crash(4);
    now += 9000;
    arrive(9);
    crash(1);
    now += 4000;
    arrive(9, 'sound');
    watch.excuse('entry');
    arrive(9);
    expect(findBroken()).toEqual([]);
  });

  it('may cost sound requests of the same kind half of their share', () => {
    crash(1);
    now += 6000;
    for (let sent = 0; sent < 40; sent += 1) watch.onSoundEnd('entry', 'stream', now, sent < 20);
    for (let sent = 0; sent < 40; sent += 1) watch.onSoundEnd('entry', 'look-up', now, false);
    expect(findBroken()).toEqual([]);
  });

  it('break the promise when sound requests lose more', () => {
    crash(1);
    now += 6000;
    for (let sent = 0; sent < 40; sent += 1) watch.onSoundEnd('entry', 'stream', now, sent < 19);
    expect(findBroken()).toEqual(['sound requests']);
  });
});
