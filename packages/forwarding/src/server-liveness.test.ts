import type { BackendServer } from '@lapisbridge/catalog';
import { createSilentLogger } from '@lapisbridge/logger';
import { describe, expect, it } from 'vitest';

import { createServerLiveness, planSilenceLimit } from './server-liveness.js';

const REPORT_INTERVAL_MILLISECONDS = 170;

function rankServer(rank: number): BackendServer {
  return {
    instanceId: `rank-${rank}`,
    service: 'service',
    host: 'host',
    port: 1,
    availabilityZone: 'zone',
    slots: 8,
    draining: false,
    groupRank: { group: 'group', epoch: 1, rank, open: true },
    startedAt: undefined,
  };
}

/** Simulates servers whose sidecars report in turn, except those that have stopped. */
function simulateServers(count: number) {
  let now = 0;
  const servers = Array.from({ length: count }, (_, rank) => rankServer(rank));
  const liveness = createServerLiveness(() => now, createSilentLogger());
  liveness.keepOnly(new Map(servers.map((server) => [server.instanceId, server])));
  return {
    liveness,
    run(milliseconds: number, stopped: readonly number[]) {
      for (const until = now + milliseconds; now < until; now += 10) {
        for (const [rank, { instanceId }] of servers.entries()) {
          const isDue = (now + rank * 10) % REPORT_INTERVAL_MILLISECONDS === 0;
          if (isDue && !stopped.includes(rank)) liveness.recordContact(instanceId);
        }
      }
    },
    silent: () => servers.filter((server) => liveness.isSilent(server)).length,
  };
}

describe('a backend server', () => {
  it('is silent some reports after it has stopped, until it reports again', () => {
    const simulation = simulateServers(16);
    simulation.run(2000, []);
    expect(simulation.silent()).toBe(0);
    simulation.run(200, [3]);
    expect(simulation.silent()).toBe(0);
    simulation.run(400, [3]);
    expect(simulation.silent()).toBe(1);
    expect(simulation.liveness.silentServerCount()).toBe(1);
    simulation.run(REPORT_INTERVAL_MILLISECONDS, []);
    expect(simulation.silent()).toBe(0);
    expect(simulation.liveness.silentServerCount()).toBe(0);
  });

  it('is no longer silent if the store lists it for longer than a lease', () => {
    // Guards against withholding requests from a server of which only the sidecar has stopped.
    const simulation = simulateServers(16);
    simulation.run(5000, [3]);
    expect(simulation.silent()).toBe(1);
    simulation.run(2000, [3]);
    expect(simulation.silent()).toBe(0);
    expect(simulation.liveness.silentServerCount()).toBe(0);
  });

  it('that has never reported is measured from when it became known', () => {
    const simulation = simulateServers(16);
    simulation.run(300, [3]);
    expect(simulation.silent()).toBe(0);
    simulation.run(300, [3]);
    expect(simulation.silent()).toBe(1);
  });

  it('is not silent if most of its service are: the fault is in the network', () => {
    const simulation = simulateServers(16);
    simulation.run(1000, []);
    simulation.run(3000, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
    expect(simulation.silent()).toBe(0);
  });

  it('without a sidecar is never silent', () => {
    let now = 0;
    const liveness = createServerLiveness(() => now, createSilentLogger());
    const plain = { ...rankServer(0), groupRank: undefined };
    liveness.keepOnly(new Map([[plain.instanceId, plain]]));
    now = 10_000;
    expect(liveness.isSilent(plain)).toBe(false);
  });
});

describe('the silence limit', () => {
  it('follows the reporting interval, above a minimum', () => {
    expect(planSilenceLimit([])).toBe(Infinity);
    expect(planSilenceLimit([10, 20, 30, 9000])).toBe(400);
    expect(planSilenceLimit([200, 250, 300])).toBe(1000);
  });
});
