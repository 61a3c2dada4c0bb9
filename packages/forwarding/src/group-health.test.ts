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
  it('is not reopened by a report that is older than a refusal', () => {
    // Guards against sending streams to a stopped group because of a relayed report that is older
    // than a refusal.
    const { clock, health } = start();
    const rank = { group: 'group', rank: 0, epoch: 1, isOpen: true };
    health.recordReport(rank);
    clock.now += 100;
    health.recordRefusal(server(0, true));
    clock.now += 20;
    health.recordReport(rank, 900);
    expect(health.brokenForMilliseconds(server(0, true))).toBe(20);
  });

  it('is broken for all its ranks as soon as one reports it', () => {
    // When a rank dies, the other ranks detect it one after another. Requests sent to ranks that
    // have not detected it yet would hang until their engines time out.
    const { health } = start();
    for (const rank of [0, 1, 2]) {
      health.recordReport({ group: 'group', rank, epoch: 1, isOpen: rank !== 1 });
    }
    expect(health.brokenForMilliseconds(server(0, true))).toBeDefined();
  });

  it('is open again with the first report of a newer epoch', () => {
    // After the group is re-formed, the last reports of other ranks still belong to the old epoch.
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    health.recordReport({ group: 'group', rank: 1, epoch: 2, isOpen: true });
    expect(health.brokenForMilliseconds(server(0, false))).toBeUndefined();
  });

  it('is open by the reports of its ranks, whatever one row of the list says of it', () => {
    // Guards against an odd row of another writer that closes a group.
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 3, isOpen: true });
    for (const epoch of [0, 4, Number.MAX_SAFE_INTEGER]) {
      const odd = server(0, false, epoch);
      expect(health.brokenForMilliseconds(odd)).toBeUndefined();
      expect(health.brokenForMilliseconds(server(0, true, 3))).toBeUndefined();
    }
  });

  it('takes its state from the list of servers once no sidecar reports', () => {
    // All sidecars were disconnected while they reported the group as broken. Relying on these
    // reports forever would keep a service closed that has long recovered.
    const { health, clock } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    clock.now = 2000;
    expect(health.brokenForMilliseconds(server(0, true, 2))).toBeUndefined();
    expect(health.brokenForMilliseconds(server(0, false, 2))).toBeDefined();
  });

  it('is broken after a refusal that names the cause, until its ranks report otherwise', () => {
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 3, isOpen: true });
    health.recordRefusal(server(0, true, 2));
    expect(health.brokenForMilliseconds(server(1, true))).toBeDefined();
    health.recordReport({ group: 'group', rank: 0, epoch: 3, isOpen: true });
    expect(health.brokenForMilliseconds(server(1, true))).toBeUndefined();
  });

  it('has been stopped for an unknown time when its first report says that it is broken', () => {
    // An entry may restart during an outage. If it took that moment for the start of the outage, it
    // would refuse callers that can be served shortly.
    const { health, clock } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    expect(health.brokenForMilliseconds(server(0, false))).toBe(Infinity);
    health.recordReport({ group: 'group', rank: 0, epoch: 2, isOpen: true });
    clock.now = 100;
    health.recordReport({ group: 'group', rank: 0, epoch: 2, isOpen: false });
    clock.now = 300;
    expect(health.brokenForMilliseconds(server(0, false))).toBe(200);
  });

  it('resolves the promise of the next change', async () => {
    const { health } = start();
    health.recordReport({ group: 'group', rank: 0, epoch: 1, isOpen: false });
    const opened = health.nextChange();
    health.recordReport({ group: 'group', rank: 0, epoch: 2, isOpen: true });
    await expect(opened).resolves.toBeUndefined();
  });
});
