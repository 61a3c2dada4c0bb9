import { createRequestDigest } from '@lapisbridge/crash-attribution';
import { createSilentLogger } from '@lapisbridge/logger';
import { sleep } from '@lapisbridge/kernel';
import { describe, expect, it } from 'vitest';

import { serverWith } from './backend-server-fixture.js';
import { ProbeResult } from './connection-probe.js';
import { AttemptEnd } from './attempt-end.js';
import { createServerEndDetector } from './server-end-detector.js';
import type {
  AttemptContent,
  ServerEnd,
  ServerEndDetector,
  WatchedAttempt,
} from './server-end-detector.js';

const PROBE_MILLISECONDS = 40;

/** Content of a request that is told from others by its parts. */
function contentOf(sharedParts: readonly string[]): AttemptContent {
  const content = { method: 'POST', host: 'host', target: '/', promptParts: sharedParts };
  return {
    sharedParts,
    digest: createRequestDigest({ ...content, body: Buffer.alloc(0) }),
    generation: 1,
  };
}

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
      onAnswered: () => undefined,
      onContact: () => undefined,
      currentProcess: (listed) => listed,
      isRankSilent: () => false,
      now: () => performance.now(),
    });
  }

  it('is reported with the shared parts of lost requests without progress', async () => {
    const watched = detector(ProbeResult.Refused);
    const started = watched.watch(server, contentOf(['a', 'b']), ignoreCancel);
    started.onProgress();
    const waiting = watched.watch(server, contentOf(['a', 'c']), ignoreCancel);
    const cancelled = watched.watch(server, contentOf(['d']), ignoreCancel);
    for (const lost of [started, waiting]) lost.onEnd(AttemptEnd.ConnectionLost);
    cancelled.onEnd(AttemptEnd.Cancelled);
    await sleep(PROBE_MILLISECONDS);
    expect(ends).toHaveLength(1);
    expect(ends[0]).toMatchObject({ server, lostRequests: 2, suspects: ['a', 'c'] });
    expect(watched.endedServers()).toBe(1);
  });

  it('names the lost requests, also those whose answers had begun', async () => {
    const watched = detector(ProbeResult.Refused);
    const contents = [contentOf(['a', 'b']), contentOf(['c'])];
    for (const content of contents) {
      const attempt = watched.watch(server, content, ignoreCancel);
      attempt.onProgress();
      attempt.onEnd(AttemptEnd.ConnectionLost);
    }
    await sleep(PROBE_MILLISECONDS);
    expect(ends[0]?.suspects).toEqual([]);
    expect(ends[0]?.requests.map(({ digest }) => digest)).toEqual(
      contents.map(({ digest }) => digest.full()),
    );
  });

  it('is reported again when more requests are found to be lost with it', async () => {
    const watched = detector(ProbeResult.Refused);
    watched.watch(server, contentOf(['a']), ignoreCancel).onEnd(AttemptEnd.ConnectionLost);
    await sleep(PROBE_MILLISECONDS);
    watched.watch(server, contentOf(['b']), ignoreCancel).onEnd(AttemptEnd.ConnectionLost);
    expect(ends.map(({ suspects }) => suspects)).toEqual([['a'], ['a', 'b']]);
    expect(watched.endedServers()).toBe(1);
  });

  it.each([ProbeResult.Accepted, ProbeResult.Inconclusive])(
    'is not inferred from a lost connection alone where a probe is %s',
    async (result) => {
      // Guards against blaming requests for cut links and lost answers.
      const watched = detector(result);
      watched.watch(server, contentOf(['a']), ignoreCancel).onEnd(AttemptEnd.ConnectionLost);
      await sleep(PROBE_MILLISECONDS);
      watched.keepOnly(new Map());
      expect(ends).toEqual([]);
    },
  );

  it('is inferred from another process at its address', async () => {
    const watched = detector(ProbeResult.Inconclusive);
    watched.watch(server, contentOf(['a']), ignoreCancel).onEnd(AttemptEnd.ConnectionLost);
    await sleep(PROBE_MILLISECONDS);
    watched.keepOnly(new Map([['server', serverWith({ startedAt: 2 })]]));
    expect(ends).toHaveLength(1);
  });

  it('is not reported for a server that drains', async () => {
    const watched = detector(ProbeResult.Refused);
    watched.keepOnly(new Map([['server', serverWith({ draining: true })]]));
    watched.watch(server, contentOf(['a']), ignoreCancel).onEnd(AttemptEnd.ConnectionLost);
    await sleep(PROBE_MILLISECONDS);
    expect(ends).toEqual([]);
  });

  it('is prevented by cancelling the attempts with a quarantined part that show no progress', () => {
    const watched = detector(ProbeResult.Accepted);
    const cancelled: string[] = [];
    const watch = (id: string, ...parts: string[]): WatchedAttempt =>
      watched.watch(server, contentOf(parts), () => cancelled.push(id));
    watch('pending', 'a', 'bad');
    watch('other', 'a');
    watch('answered', 'bad').onProgress();
    watch('ended', 'bad').onEnd(AttemptEnd.Cancelled);
    watched.cancelWith('bad');
    expect(cancelled).toEqual(['pending']);
  });
});
