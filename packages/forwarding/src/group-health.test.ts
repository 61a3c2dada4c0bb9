import { createSilentLogger } from '@lapisbridge/logger';
import type { BackendServer } from '@lapisbridge/catalog';
import { describe, expect, it } from 'vitest';

import { createGroupHealth } from './group-health.js';

function server(rank: number, open: boolean, epoch = 1): BackendServer {
  return {
    instanceId: `server-${rank}`,
    service: 'model',
    host: 'host',
    port: 1,
    availabilityZone: 'zone',
    slots: 8,
    draining: false,
    groupRank: { group: 'group', epoch, rank, open },
    startedAt: undefined,
  };
}

function start() {
  const clock = { now: 0 };
  return { clock, health: createGroupHealth(() => clock.now, createSilentLogger()) };
}

describe('a lock-step group', () => {
  it('is not opened again by word that is older than a refusal', () => {
    // Guards against streams that are sent to a group that stands still, on the word of a relay.
    const { clock, health } = start();
    const rank = { group: 'group', rank: 0, epoch: 1, isOpen: true };
    health.recordReport(rank);
    clock.now += 100;
    health.recordRefusal(server(0, true));
    clock.now += 20;
    health.recordReport(rank, 900);
    expect(health.brokenForMilliseconds(server(0, true))).toBe(20);
  });

  it('is broken for all its ranks as soon as one says so', () => {
    // A rank dies; its neighbours notice one after the other. Requests sent to those that have
    // not noticed yet would hang until their engines give up.
    const { health } = start();
    for (const rank of [0, 1, 2]) {
      health.recordReport({ group: 'group', rank, epoch: 1, isOpen: rank !== 1 });
    }
    expect(health.brokenForMilliseconds(server(0, true))).toBeDefined();
  });

  it('is open again with the first word of a newer epoch', () => {
    // The group has formed anew; the last words of other ranks are still those of the old one.
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    health.recordReport({ group: 'group', rank: 1, epoch: 2, isOpen: true });
    expect(health.brokenForMilliseconds(server(0, false))).toBeUndefined();
  });

  it('is judged by the list once no sidecar is heard', () => {
    // All sidecars were cut off while they said "broken". Believing that for ever would keep a
    // service closed that has long been whole again.
    const { health, clock } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    clock.now = 2000;
    expect(health.brokenForMilliseconds(server(0, true, 2))).toBeUndefined();
    expect(health.brokenForMilliseconds(server(0, false, 2))).toBeDefined();
  });

  it('is broken after a refusal that names the cause, until its ranks say otherwise', () => {
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 3, isOpen: true });
    health.recordRefusal(server(0, true, 2));
    expect(health.brokenForMilliseconds(server(1, true))).toBeDefined();
    health.recordReport({ group: 'group', rank: 0, epoch: 3, isOpen: true });
    expect(health.brokenForMilliseconds(server(1, true))).toBeUndefined();
  });

  it('has stood still for an unknown time when it is found broken', () => {
    // An entry restarts in the middle of an outage. Taking that for its beginning, it would send
    // callers away who can be served in a moment.
    const { health, clock } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    expect(health.brokenForMilliseconds(server(0, false))).toBe(Infinity);
    health.recordReport({ group: 'group', rank: 0, epoch: 2, isOpen: true });
    clock.now = 100;
    health.recordReport({ group: 'group', rank: 0, epoch: 2, isOpen: false });
    clock.now = 300;
    expect(health.brokenForMilliseconds(server(0, false))).toBe(200);
  });

  it('wakes those who wait for it', async () => {
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    const opened = health.nextChange();
    health.recordReport({ group: 'group', rank: 0, epoch: 2, isOpen: true });
    await expect(opened).resolves.toBeUndefined();
  });
});
