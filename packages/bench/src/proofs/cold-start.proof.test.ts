/**
 * A backend server that has just started receives no more work than it can bear.
 */
import { checkAll, EventKind } from '@lapisbridge/history';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { postJson } from '../site/http-json.js';
import { launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';
import { awaitEvent } from '../load/await-event.js';
import { startDraftLoad } from '../load/draft-load.js';
import { engineCounts, statusOf } from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import type { Recorder } from '../load/recorder.js';

const MODEL = 'inspection-draft';
const BEARABLE = 4;
const TOKENS = 30;

let site: Site;
let recorder: Recorder;

beforeAll(async () => {
  site = await launchSite({
    example: 'brno',
    servicesPerZone: 0,
    engine: { warmUpTokens: 300, coldCapacity: BEARABLE, stepMilliseconds: 6 },
    adjust: (document) => ({
      ...document,
      models: document.models.map((model) => ({ ...model, coldConcurrency: BEARABLE })),
    }),
  });
});
afterAll(() => site.stop());
beforeEach(() => {
  recorder = createRecorder(site);
});
afterEach(() => recorder.close());

async function recordColdLoads(): Promise<void> {
  for (const { url, sidecarId } of site.engines) {
    const { highestWhileCold, fallOvers } = await engineCounts(url);
    expect(fallOvers).toBe(0);
    recorder.history.record({
      kind: EventKind.ColdLoad,
      instanceId: sidecarId,
      highest: highestWhileCold,
      bearable: BEARABLE,
    });
  }
  expect(checkAll(recorder.history.events)).toEqual([]);
}

function limitOf(instanceId: string): Promise<number | undefined> {
  return statusOf(site).then(
    ({ instances }) => instances.find((one) => one.instanceId === instanceId)?.load?.limit,
  );
}

describe('a cold backend server', () => {
  it('is not overrun when every entry sends at once, and is used more as it warms', async () => {
    // All servers of a site are cold and all entries have work. Each entry alone keeps to what
    // looks bearable to it; together they would be too much. Only the sidecar sees the sum.
    const load = startDraftLoad(recorder, {
      concurrency: 40,
      entries: () => [0, 1, 2],
      maximumTokens: TOKENS,
    });
    for (const { sidecarId } of site.engines) {
      await awaitEvent('a grown limit', async () =>
        ((await limitOf(sidecarId)) ?? 0) > BEARABLE ? true : undefined,
      );
    }
    const done = await load.stop();
    expect(done.some(({ complete }) => complete)).toBe(true);
    await recordColdLoads();
  });

  it('is not overrun when its engine restarts under a living sidecar', async () => {
    // The sidecar's limit had grown on the old engine. Keeping it would send full load to the new
    // one, which would fall over, and again after each restart.
    const engine = site.engines[0];
    const load = startDraftLoad(recorder, {
      concurrency: 24,
      entries: () => [0, 1, 2],
      maximumTokens: TOKENS,
    });
    await awaitEvent('work', async () =>
      (await engineCounts(engine?.url ?? '')).running > 0 ? true : undefined,
    );
    await site.process(engine?.id ?? '').kill();
    site.restart(engine?.id ?? '');
    await awaitEvent('work at the new engine', async () =>
      (await engineCounts(engine?.url ?? '')).started > BEARABLE ? true : undefined,
    );
    await load.stop();
    await recordColdLoads();
  });

  it('is held to its cold limit again once a warm engine reports that it turned cold', async () => {
    // A warm engine loses its caches without a restart and says so a little later. From then on
    // it must not get more than a cold one, although nothing was disconnected.
    const engine = site.engines[1];
    await postJson(`${engine?.url}/chill`, {});
    await awaitEvent('the cold limit', async () =>
      (await limitOf(engine?.sidecarId ?? '')) === BEARABLE ? true : undefined,
    );
    const load = startDraftLoad(recorder, {
      concurrency: 40,
      entries: () => [0, 1, 2],
      maximumTokens: TOKENS,
    });
    await awaitEvent('a grown limit', async () =>
      ((await limitOf(engine?.sidecarId ?? '')) ?? 0) > BEARABLE ? true : undefined,
    );
    await load.stop();
    await recordColdLoads();
  });

  it('is not overrun by a sidecar that restarts before it and knows nothing', async () => {
    const engine = site.engines[2];
    await postJson(`${engine?.url}/chill`, {});
    await site.process(engine?.sidecarId ?? '').kill();
    site.restart(engine?.sidecarId ?? '');
    await site.waitForServers(MODEL, site.engines.length);
    const drafts = Array.from({ length: 60 }, (_, entry) =>
      recorder.draft({ entry, maximumTokens: TOKENS }),
    );
    await Promise.all(drafts);
    await recordColdLoads();
  });
});
