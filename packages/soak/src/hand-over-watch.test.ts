import { checkAll, createHistory } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import { beforeEach, describe, expect, it } from 'vitest';

import { createHandOverWatch } from './hand-over-watch.js';
import type { HandOverWatch } from './hand-over-watch.js';

describe('first attempts while most connections are handed to one entry', () => {
  let now = 0;
  let history: History;
  let watch: HandOverWatch;

  function end(times: number, served: number, kind = 'stream', entry = 'entry'): void {
    for (let index = 0; index < times; index += 1) watch.onEnd(entry, kind, now, index < served);
  }

  function findBroken(): string[] {
    watch.conclude();
    return checkAll(history.events).map(({ promise }) => promise);
  }

  beforeEach(() => {
    now = 10_000;
    history = createHistory();
    watch = createHandOverWatch(history, () => now);
    end(40, 40);
    watch.onBegin();
  });

  it('count from three seconds after its begin until its end', () => {
    now += 2999;
    end(40, 0);
    now += 1;
    end(40, 30);
    watch.onFinish();
    end(40, 0);
    expect(findBroken()).toEqual([]);
  });

  it('break the promise when less than three quarters are served, for any kind', () => {
    now += 3000;
    end(100, 100, 'look-up');
    end(40, 29);
    expect(findBroken()).toEqual(['hand-over']);
  });

  it('do not count around other faults, nor at an entry that was interrupted', () => {
    now += 3000;
    watch.excuse('other');
    end(40, 0, 'stream', 'other');
    watch.onOtherFault();
    end(40, 0);
    watch.onOtherFaultLifted();
    now += 2999;
    end(40, 0);
    expect(findBroken()).toEqual([]);
  });
});
