import { expect, it } from 'vitest';

import { dropReplacedServers } from './drop-replaced-servers.js';
import type { BackendServer } from './types.js';

function server(instanceId: string, port: number, startedAt: number | undefined): BackendServer {
  return {
    instanceId,
    service: 'service',
    host: '10.0.0.1',
    port,
    availabilityZone: 'zone',
    slots: 1,
    draining: false,
    groupRank: undefined,
    startedAt,
  };
}

function kept(...servers: BackendServer[]): string[] {
  return [...dropReplacedServers(new Map(servers.map((one) => [one.instanceId, one]))).keys()];
}

it('keeps the server that started last at an address', () => {
  // Guards against refusals after a power loss: all servers restart, and their old rows stay listed
  // for seconds. A request that is sent to two old instances is refused although all are idle.
  expect(kept(server('new', 1, 2000), server('former', 1, 1000))).toEqual(['new']);
  expect(kept(server('former', 1, 1000), server('new', 1, 2000))).toEqual(['new']);
});

it('keeps servers at other addresses, and those without a start time', () => {
  const listed = [server('one', 1, 2000), server('two', 2, 1000), server('silent', 1, undefined)];
  expect(kept(...listed)).toEqual(['one', 'two', 'silent']);
});
