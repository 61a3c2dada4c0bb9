/**
 * The whole answer to its own request: whole processes under deaths of engines, sidecars and
 * entries, engines that break off or fall silent.
 */
import { checkAll } from '@lapisbridge/history';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { getJson } from '../site/http-json.js';
import { launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';
import { awaitEvent } from '../load/await-event.js';
import { engineCounts, engineFaults } from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import type { RecordedDraft, Recorder } from '../load/recorder.js';

const MODEL = 'inspection-draft';
const TOKENS = 60;

let site: Site;
let recorder: Recorder;

beforeAll(async () => {
  site = await launchSite({
    example: 'brno',
    servicesPerZone: 0,
    runnersPerZone: 2,
    engine: { warmUpTokens: 0, stepMilliseconds: 15 },
    adjust: (document) => ({
      ...document,
      models: document.models.map((model) => ({ ...model, coldConcurrency: 16 })),
      limits: { ...document.limits, engineSilenceMilliseconds: 700 },
    }),
  });
});
afterAll(() => site.stop());
beforeEach(() => {
  recorder = createRecorder(site);
});
afterEach(async () => {
  for (const { url } of site.engines) {
    await engineFaults(url, { slowFactor: 1, breakAfterTokens: 0, silentAfterTokens: 0 });
  }
  recorder.close();
});

function drafts(count: number): Promise<RecordedDraft>[] {
  return Array.from({ length: count }, (_, entry) =>
    recorder.draft({ entry, maximumTokens: TOKENS }),
  );
}

/** The engine that works most, once the drafts are under way. */
function busiestEngine(): Promise<Site['engines'][number]> {
  return awaitEvent('drafts at an engine', async () => {
    let busiest: Site['engines'][number] | undefined;
    let most = 0;
    for (const engine of site.engines) {
      const { running } = await engineCounts(engine.url);
      if (running > most) {
        most = running;
        busiest = engine;
      }
    }
    return busiest;
  });
}

function expectAllWhole(done: readonly RecordedDraft[]): void {
  expect(checkAll(recorder.history.events)).toEqual([]);
  expect(done.filter(({ complete }) => !complete).map(({ code }) => code)).toEqual([]);
}

async function restart(id: string, servers: number): Promise<void> {
  site.restart(id);
  for (const { url } of site.engines) await awaitEvent('the engine', () => engineCounts(url));
  await site.waitForServers(MODEL, servers);
}

describe('an answer', () => {
  it('goes on elsewhere when its engine dies in the middle', async () => {
    // An engine process dies with streams open. Without going on from the delivered text callers
    // would see their drafts stop in the middle, or start again from the first word.
    const running = drafts(18);
    const engine = await busiestEngine();
    await site.process(engine.id).kill();
    expectAllWhole(await Promise.all(running));
    await restart(engine.id, site.engines.length);
  });

  it('goes on elsewhere when its sidecar dies in the middle', async () => {
    // The sidecar held the answer's buffer; the entry holds what the caller already has.
    const running = drafts(18);
    const engine = await busiestEngine();
    await site.process(engine.sidecarId).kill();
    expectAllWhole(await Promise.all(running));
    await restart(engine.sidecarId, site.engines.length);
  });

  it('goes on elsewhere when its sidecar is frozen in the middle', async () => {
    // A frozen process keeps its connections open and accepts new ones. Only its silence on both
    // tells; waiting for an error would hold callers until their deadline.
    const running = drafts(18);
    const engine = await busiestEngine();
    site.process(engine.sidecarId).freeze();
    const done = await Promise.all(running);
    site.process(engine.sidecarId).thaw();
    expectAllWhole(done);
    await site.waitForServers(MODEL, site.engines.length);
  });

  it('is resumed at another entry without a second generation when its entry dies', async () => {
    // The entry that dies held the only connection to the sidecar. The caller comes back through
    // another entry with the id of its last event, which names the sidecar.
    const before = await startedAtAllEngines();
    const victim = site.entries[1];
    const running = Array.from({ length: 6 }, () =>
      recorder.draft({ entry: 1, maximumTokens: TOKENS }),
    );
    await busiestEngine();
    await awaitEvent('text on the way', async () => {
      const counts = await Promise.all(site.engines.map(({ url }) => engineCounts(url)));
      return counts.reduce((sum, { running: open }) => sum + open, 0) >= 6 ? true : undefined;
    });
    await site.process(victim?.id ?? '').kill();
    const done = await Promise.all(running);
    expectAllWhole(done);
    const resumedInTheMiddle = done.filter(
      ({ firstTextMilliseconds }) => firstTextMilliseconds !== undefined,
    );
    const freshStarts = done.length - resumedInTheMiddle.length;
    expect((await startedAtAllEngines()) - before).toBeLessThanOrEqual(done.length + freshStarts);
    site.restart(victim?.id ?? '');
    await awaitEvent('the entry again', () => getJson(`${victim?.url}/readyz`));
    await site.waitForServers(MODEL, site.engines.length);
  });

  it('is repaired when an engine ends streams without their end mark', async () => {
    // A stream that merely ends looks finished to a careless reader, and the caller would take
    // half a draft for the whole.
    for (const { url } of site.engines.slice(0, 2))
      await engineFaults(url, { breakAfterTokens: 37 });
    expectAllWhole(await Promise.all(drafts(18)));
  });

  it('is repaired when an engine falls silent in the middle', async () => {
    // The connection to the engine stays open and nothing comes any more, while new connections
    // to the same engine work.
    for (const { url } of site.engines.slice(0, 2))
      await engineFaults(url, { silentAfterTokens: 41 });
    expectAllWhole(await Promise.all(drafts(12)));
  });

  it('is whole when an engine and an entry die together', async () => {
    // Two failures at once: some callers come back through another entry for answers whose engine
    // is gone too. Those whose text nobody holds any more must be told so, never a wrong whole.
    const running = drafts(18);
    const engine = await busiestEngine();
    const entry = site.entries[0]?.id ?? '';
    await Promise.all([site.process(engine.id).kill(), site.process(entry).kill()]);
    const done = await Promise.all(running);
    expect(checkAll(recorder.history.events)).toEqual([]);
    expect(done.filter(({ complete }) => complete).length).toBeGreaterThanOrEqual(12);
    site.restart(entry);
    await awaitEvent('the entry again', () => getJson(`${site.entries[0]?.url}/readyz`));
    await restart(engine.id, site.engines.length);
  });
});

async function startedAtAllEngines(): Promise<number> {
  const counts = await Promise.all(site.engines.map(({ url }) => engineCounts(url)));
  return counts.reduce((sum, { started }) => sum + started, 0);
}
