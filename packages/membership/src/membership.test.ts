/**
 * Membership in simulated time, over a network whose links a test can block.
 */
import { InstanceState, Role } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createMemberTable, createProber } from './index.js';
import type { GossipMessage, MemberUpdate, Prober } from './index.js';

const TICK_MILLISECONDS = 100;

interface Network {
  readonly probers: Map<string, Prober>;
  /** Links "from>to" that drop every message. */
  readonly blockedLinks: Set<string>;
  readonly stoppedInstances: Set<string>;
  readonly messages: { count: number };
  now: number;
  run(milliseconds: number): void;
  restart(name: string, incarnation: number): void;
  stateOf(observer: string, name: string): InstanceState | undefined;
}

function record(name: string): InstanceRecord {
  return {
    instanceId: name,
    role: Role.Sidecar,
    environment: 'test',
    availabilityZone: 'a',
    host: '127.0.0.1',
    peerPort: 1,
  };
}

/** Deterministic generator, so that a failing run can be repeated from its seed. */
function createSeededRandom(seed: number): () => number {
  let state = seed + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function createNetwork(names: readonly string[], seed: number): Network {
  const random = createSeededRandom(seed);
  const inTransit: { at: number; to: string; message: GossipMessage }[] = [];
  const network: Network = {
    probers: new Map(),
    blockedLinks: new Set(),
    stoppedInstances: new Set(),
    messages: { count: 0 },
    now: 0,
    run(milliseconds) {
      const end = network.now + milliseconds;
      while (network.now < end) {
        network.now += TICK_MILLISECONDS;
        deliver();
        for (const [name, prober] of network.probers) {
          if (!network.stoppedInstances.has(name)) prober.tick(network.now);
        }
        deliver();
      }
    },
    restart(name, incarnation) {
      network.stoppedInstances.delete(name);
      network.probers.set(name, create(name, incarnation));
      for (const other of names)
        network.probers.get(name)?.mergeListed(record(other), false, network.now);
    },
    stateOf: (observer, name) => network.probers.get(observer)?.member(name)?.state,
  };

  function deliver(): void {
    for (const { to, message } of inTransit.splice(0)) {
      const from = message.from.record.instanceId;
      const isDropped =
        network.blockedLinks.has(`${from}>${to}`) ||
        network.stoppedInstances.has(to) ||
        network.stoppedInstances.has(from);
      if (!isDropped) network.probers.get(to)?.receive(message, network.now);
    }
  }

  function create(name: string, incarnation: number): Prober {
    return createProber({
      self: record(name),
      incarnation,
      random,
      send(to, message) {
        network.messages.count += 1;
        inTransit.push({ at: network.now, to: to.instanceId, message });
      },
      stateDigest: () => '',
      onChange: () => undefined,
      onPeerDigest: () => undefined,
    });
  }

  for (const name of names) network.restart(name, 1);
  return network;
}

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];
const seedArbitrary = fc.integer({ min: 0, max: 1_000_000 });

function expectAll(network: Network, name: string, state: InstanceState): void {
  for (const observer of NAMES) {
    if (observer === name || network.stoppedInstances.has(observer)) continue;
    expect(`${observer}: ${network.stateOf(observer, name)}`).toBe(`${observer}: ${state}`);
  }
}

describe('membership', () => {
  it('detects a dead instance on all members, and its restart too', () => {
    // A process dies without a leave announcement. Entries that do not detect this keep choosing
    // it, and each request sent there waits for a connect timeout.
    fc.assert(
      fc.property(seedArbitrary, (seed) => {
        const network = createNetwork(NAMES, seed);
        network.run(3000);
        network.stoppedInstances.add('c');
        network.run(30_000);
        expectAll(network, 'c', InstanceState.Dead);
        network.restart('c', 2);
        network.run(15_000);
        expectAll(network, 'c', InstanceState.Live);
      }),
      { numRuns: 40 },
    );
  });

  it('keeps an instance whose messages do not reach one of the members', () => {
    // A one-way link failure: b receives from a, but a receives nothing from b. Without indirect
    // probes a would declare b dead, and the whole fleet would stop using a healthy server.
    fc.assert(
      fc.property(seedArbitrary, (seed) => {
        const network = createNetwork(NAMES, seed);
        network.run(3000);
        network.blockedLinks.add('b>a');
        network.run(30_000);
        for (const observer of ['c', 'd', 'e', 'f']) {
          expect(network.stateOf(observer, 'b')).not.toBe(InstanceState.Dead);
        }
      }),
      { numRuns: 40 },
    );
  });

  it('recovers from a partition of an hour between two halves', () => {
    // A partition of an hour, in which each half declares the other dead. If dead members were
    // never probed again, the halves would stay apart after the network has recovered.
    fc.assert(
      fc.property(seedArbitrary, (seed) => {
        const network = createNetwork(NAMES, seed);
        network.run(3000);
        for (const left of ['a', 'b', 'c']) {
          for (const right of ['d', 'e', 'f'])
            network.blockedLinks.add(`${left}>${right}`).add(`${right}>${left}`);
        }
        network.run(3_600_000);
        expect(network.stateOf('a', 'f')).toBe(InstanceState.Dead);
        network.blockedLinks.clear();
        network.run(60_000);
        for (const name of NAMES) expectAll(network, name, InstanceState.Live);
      }),
      { numRuns: 3 },
    );
  });

  it('spreads a leave announcement without waiting for a probe to fail', () => {
    const network = createNetwork(NAMES, 7);
    network.run(3000);
    network.probers.get('d')?.leave(network.now);
    network.run(3000);
    expectAll(network, 'd', InstanceState.Leaving);
  });

  it('sends a fixed number of messages per instance, whatever the size of the fleet', () => {
    const perInstance = (size: number): number => {
      const names = Array.from({ length: size }, (_, index) => `n${index}`);
      const network = createNetwork(names, 3);
      network.run(20_000);
      return network.messages.count / size / 20;
    };
    expect(perInstance(64) / perInstance(8)).toBeLessThan(1.2);
  });
});

describe('merging updates', () => {
  it('gives the same result whatever the order and number of updates', () => {
    const updates = fc.array(
      fc.record({
        record: fc.constant(record('x')),
        incarnation: fc.nat(3),
        state: fc.constantFrom(...Object.values(InstanceState)),
        version: fc.nat(3),
      }),
      { minLength: 1, maxLength: 8 },
    );
    const mergeAll = (sequence: readonly MemberUpdate[]): unknown => {
      const table = createMemberTable();
      for (const update of sequence) table.merge(update, 0);
      const member = table.get('x');
      return [member?.incarnation, member?.state];
    };
    fc.assert(
      fc.property(updates, (sequence) => {
        expect(mergeAll([...sequence].reverse())).toEqual(mergeAll(sequence));
        expect(mergeAll([...sequence, ...sequence])).toEqual(mergeAll(sequence));
      }),
    );
  });
});
