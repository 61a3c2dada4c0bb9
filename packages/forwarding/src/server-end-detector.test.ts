import { createSilentLogger } from '@lapisbridge/logger';
import { sleep } from '@lapisbridge/kernel';
import { describe, expect, it } from 'vitest';

import { serverWith } from './backend-server-fixture.js';
import { ProbeResult } from './connection-probe.js';
import { createServerEndDetector } from './server-end-detector.js';
import type { ServerEnd, ServerEndDetector, WatchedAttempt } from './server-end-detector.js';

const PROBE_MILLISECONDS = 40;

function ignoreCancel(): void {
  // These attempts end by themselves.
}

describe('the end of a backend server', () => {
  let ends: ServerEnd[] = [];
  const server = serverWith();

  function detector(result: ProbeResult): ServerEndDetector {
    ends = [];
    return createServerEndDetector({
      logger: createSilentLogger(),
      probe: () => Promise.resolve(result),
      onServerEnd: (end) => ends.push(end),
      onProgress: () => undefined,
      now: () => performance.now(),
    });
  }

  it('is reported with the shared parts of lost requests without progress', async () => {
    const watched = detector(ProbeResult.Refused);
    const started = watched.watch(server, ['a', 'b'], ignoreCancel);
    started.onProgress();
    const waiting = watched.watch(server, ['a', 'c'], ignoreCancel);
    const cancelled = watched.watch(server, ['d'], ignoreCancel);
    for (const lost of [started, waiting]) lost.onEnd(true);
    cancelled.onEnd(false);
    await sleep(PROBE_MILLISECONDS);
    expect(ends).toHaveLength(1);
    expect(ends[0]).toMatchObject({ server, lostRequests: 2, suspects: ['a', 'c'] });
    expect(watched.endedServers()).toBe(1);
  });

  it('is reported again when more requests are found to be lost with it', async () => {
    const watched = detector(ProbeResult.Refused);
    watched.watch(server, ['a'], ignoreCancel).onEnd(true);
    await sleep(PROBE_MILLISECONDS);
    watched.watch(server, ['b'], ignoreCancel).onEnd(true);
    expect(ends.map(({ suspects }) => suspects)).toEqual([['a'], ['a', 'b']]);
    expect(watched.endedServers()).toBe(1);
  });

  it.each([ProbeResult.Accepted, ProbeResult.Inconclusive])(
    'is not inferred from a lost connection alone where a probe is %s',
    async (result) => {
      // Guards against blaming requests for cut links and lost answers.
      const watched = detector(result);
      watched.watch(server, ['a'], ignoreCancel).onEnd(true);
      await sleep(PROBE_MILLISECONDS);
      watched.keepOnly(new Map());
      expect(ends).toEqual([]);
    },
  );

  it('is inferred from another process at its address', async () => {
    const watched = detector(ProbeResult.Inconclusive);
    watched.watch(server, ['a'], ignoreCancel).onEnd(true);
    await sleep(PROBE_MILLISECONDS);
    watched.keepOnly(new Map([['server', serverWith({ startedAt: 2 })]]));
    expect(ends).toHaveLength(1);
  });

  it('is not reported for a server that drains', async () => {
    const watched = detector(ProbeResult.Refused);
    watched.keepOnly(new Map([['server', serverWith({ draining: true })]]));
    watched.watch(server, ['a'], ignoreCancel).onEnd(true);
    await sleep(PROBE_MILLISECONDS);
    expect(ends).toEqual([]);
  });

  it('is prevented by cancelling the attempts with a quarantined part that show no progress', () => {
    const watched = detector(ProbeResult.Accepted);
    const cancelled: string[] = [];
    const watch = (id: string, ...parts: string[]): WatchedAttempt =>
      watched.watch(server, parts, () => cancelled.push(id));
    watch('pending', 'a', 'bad');
    watch('other', 'a');
    watch('answered', 'bad').onProgress();
    watch('ended', 'bad').onEnd(false);
    watched.cancelWith('bad');
    expect(cancelled).toEqual(['pending']);
  });
});
