/**
 * Whether the rest can carry what a planned drain would move onto it.
 */
import { BackendServerKind, Role } from '@lapisbridge/types';
import { describe, expect, it } from 'vitest';

import { planDrainCheck } from './plan-drain-check.js';
import type { LoadedServer } from './plan-drain-check.js';

function server(zone: string, name: string, running: number): LoadedServer {
  return {
    version: 1,
    record: {
      instanceId: `${zone}-${name}`,
      role: Role.Sidecar,
      environment: 'test',
      availabilityZone: zone,
      host: '127.0.0.1',
      peerPort: 1,
      backendServer: { kind: BackendServerKind.ModelRunner, names: [name] },
    },
    load: {
      running,
      queued: 0,
      limit: 10,
      inFlightTokens: 0,
      stepMilliseconds: 10,
      warm: true,
      backendReachable: true,
      storeReachable: true,
      draining: false,
    },
  };
}

function shortOf(servers: readonly LoadedServer[]): string[] {
  const served = new Set(['model']);
  const shortfalls = planDrainCheck(servers, served, (record) => record.availabilityZone === 'a');
  return shortfalls.map(({ name }) => name);
}

describe('the check before a drain', () => {
  it('refuses what would overload the rest or take the last server', () => {
    // The operator drains a zone at a busy hour. The rest takes over more than it can carry, and
    // callers everywhere are refused.
    expect(shortOf([server('a', 'model', 5), server('b', 'model', 5)])).toEqual(['model']);
    expect(shortOf([server('a', 'model', 0)])).toEqual(['model']);
    expect(shortOf([server('a', 'model', 4), server('b', 'model', 4)])).toEqual([]);
  });

  it('does not mind servers that the document does not serve', () => {
    // The zone also holds a rank group that no model of the document names. Refusing the drain for
    // its sake would keep operators from leaving a zone in which nothing could be missed.
    const servers = [server('a', 'model', 1), server('b', 'model', 1), server('a', 'group', 0)];
    expect(shortOf(servers)).toEqual([]);
  });
});
