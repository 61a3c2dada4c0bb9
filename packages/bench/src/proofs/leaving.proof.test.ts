/**
 * Zones and instances taken out, planned stops and sudden deaths, under load: no request in
 * progress is cut off, nothing new starts where an order is in force, nobody's answer is lost.
 */
import { ResultCode } from '@lapisbridge/errors';
import { checkAll, EventKind } from '@lapisbridge/history';
import { OutageKind } from '@lapisbridge/stand-ins';
import { InstanceState, ServiceState } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { getJson } from '../site/http-json.js';
import { launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';
import { awaitEvent } from '../load/await-event.js';
import { startDraftLoad } from '../load/draft-load.js';
import type { DraftLoad } from '../load/draft-load.js';
import {
  awaitDraining,
  engineCounts,
  orderZone,
  platformFaults,
  statusOf,
} from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import { startAsStaleEntry } from '../load/stale-entry.js';
import type { Recorder } from '../load/recorder.js';

const MODEL = 'inspection-draft';
const ZONE = 'brno-a';
const ZONES = 3;
const CONCURRENCY = 12;
const TOKENS = 40;

let site: Site;
let recorder: Recorder;

beforeAll(async () => {
  site = await launchSite({
    example: 'brno',
    servicesPerZone: 0,
    engine: { warmUpTokens: 200, coldCapacity: 6 },
    adjust: (document) => ({
      ...document,
      models: document.models.map((model) => ({ ...model, coldConcurrency: 6 })),
    }),
  });
});
afterAll(() => site.stop());
beforeEach(() => {
  recorder = createRecorder(site);
});
afterEach(async () => {
  await platformFaults(site, { outage: OutageKind.None });
  await orderZone(site, ZONE, ServiceState.InService, 1);
  recorder.close();
});

function startLoad(entries: () => readonly number[] = () => [0, 1, 2]): DraftLoad {
  return startDraftLoad(recorder, { concurrency: CONCURRENCY, entries, maximumTokens: TOKENS });
}

function awaitDone(load: DraftLoad, count: number): Promise<true> {
  const goal = load.done.length + count;
  return awaitEvent(`${count} more drafts`, () => (load.done.length >= goal ? true : undefined));
}

function enginesOf(zone: string): Site['engines'] {
  return site.engines.filter((engine) => engine.availabilityZone === zone);
}

async function startedIn(zone: string): Promise<number> {
  const counts = await Promise.all(enginesOf(zone).map(({ url }) => engineCounts(url)));
  return counts.reduce((sum, { started }) => sum + started, 0);
}

/**
 * Waits until what a zone had admitted before the order has finished, and tells how much was
 * started there by then. Admitted work may reach an engine a moment after the order.
 */
function awaitQuiet(zone: string): Promise<number> {
  return awaitEvent(`${zone} to finish what it has`, async () => {
    const counts = await Promise.all(enginesOf(zone).map(({ url }) => engineCounts(url)));
    if (counts.some(({ running }) => running > 0)) return undefined;
    return startedIn(zone);
  });
}

/** Records each start in a zone since a count as new work given to its servers. */
async function recordDispatches(zone: string, since: number): Promise<void> {
  const started = (await startedIn(zone)) - since;
  const instanceId = enginesOf(zone)[0]?.sidecarId ?? '';
  for (let count = 0; count < started; count += 1) {
    recorder.history.record({ kind: EventKind.Dispatch, instanceId });
  }
}

async function finish(load: DraftLoad): Promise<void> {
  const done = await load.stop();
  expect(checkAll(recorder.history.events)).toEqual([]);
  expect(done.filter(({ complete }) => !complete).map(({ code }) => code)).toEqual([]);
}

async function awaitReady(entry: number): Promise<void> {
  await awaitEvent('readiness', () => getJson(`${site.entries[entry]?.url}/readyz`));
}

describe('a zone that operators take out', () => {
  it('gets no new work, loses none in progress, and takes work again when restored', async () => {
    // Operators drain a zone under load. Requests sent there afterwards would be caught by the
    // maintenance that follows; requests cut off by the drain would be lost answers.
    const load = startLoad();
    await awaitDone(load, CONCURRENCY);
    await orderZone(site, ZONE, ServiceState.Drained);
    const instanceIds = await awaitDraining(site, ZONE, true);
    recorder.history.record({ kind: EventKind.DrainInForce, instanceIds });
    const before = await awaitQuiet(ZONE);
    await awaitDone(load, 3 * CONCURRENCY);
    await recordDispatches(ZONE, before);
    await expect(getJson(`${site.entries[0]?.url}/readyz`)).rejects.toThrow('2007');
    await orderZone(site, ZONE, ServiceState.InService, 2);
    await awaitDraining(site, ZONE, false);
    recorder.history.record({ kind: EventKind.DrainLifted, instanceIds });
    await awaitEvent('work in the restored zone', async () =>
      (await startedIn(ZONE)) > before ? true : undefined,
    );
    await finish(load);
  });

  it('gets no new work from an entry that was frozen while the order spread', async () => {
    // The thawed entry still believes that the zone is in service. Only the sidecars' own refusal
    // keeps its requests out; the entry then goes elsewhere, and its callers notice nothing.
    const load = startLoad(() => [0, 1]);
    await awaitDone(load, CONCURRENCY);
    const frozen = site.process(site.entries[2]?.id ?? '');
    frozen.freeze();
    await orderZone(site, ZONE, ServiceState.Drained);
    const instanceIds = await awaitDraining(site, ZONE, true);
    recorder.history.record({ kind: EventKind.DrainInForce, instanceIds });
    const before = await awaitQuiet(ZONE);
    const waiting = Array.from({ length: 12 }, () =>
      recorder.draft({ entry: 2, maximumTokens: TOKENS }),
    );
    frozen.thaw();
    const late = await Promise.all(waiting);
    await recordDispatches(ZONE, before);
    expect(late.filter(({ complete }) => complete)).toHaveLength(late.length);
    await finish(load);
  });

  it('refuses work from an entry that never heard of the order', async () => {
    // An entry that is cut off from its peers and the table still reaches a sidecar of the zone. It
    // believes the zone to be in service; only the sidecar itself can keep its work out.
    await orderZone(site, ZONE, ServiceState.Drained);
    const [instanceId = ''] = await awaitDraining(site, ZONE, true);
    const before = await awaitQuiet(ZONE);
    const refused = await startAsStaleEntry(site, instanceId, MODEL);
    expect(refused).toMatchObject({ kind: MessageKind.Refused, code: ResultCode.Draining });
    expect(await startedIn(ZONE)).toBe(before);
  });

  it('is drained at once while the store is down, and the operator is told it is not durable', async () => {
    // Operators need drains most when the platform is in trouble. Waiting for the table would
    // leave the zone in service; calling the order durable would be a lie until it is written.
    await platformFaults(site, { outage: OutageKind.Errors });
    const order = await orderZone(site, ZONE, ServiceState.Drained, 1);
    expect(order.durable).toBe(false);
    await awaitDraining(site, ZONE, true);
    await platformFaults(site, { outage: OutageKind.None });
    const again = await orderZone(site, ZONE, ServiceState.Drained, 1);
    expect(again.durable).toBe(true);
  });
});

describe('an instance that the platform lists as leaving', () => {
  it('gets no new work, although nobody ordered a drain and the list lags', async () => {
    // The platform is about to take a machine away and only its lagging list says so. Work sent
    // there would be cut off when the machine goes.
    const load = startLoad();
    await awaitDone(load, CONCURRENCY);
    const instanceId = enginesOf('brno-b')[0]?.sidecarId ?? '';
    await site.listAs(instanceId, InstanceState.Leaving);
    await awaitEvent('the sidecar to know', async () => {
      const { instances } = await statusOf(site);
      const view = instances.find((one) => one.instanceId === instanceId);
      return view?.load?.draining === true ? true : undefined;
    });
    recorder.history.record({ kind: EventKind.DrainInForce, instanceIds: [instanceId] });
    const before = await awaitQuiet('brno-b');
    await awaitDone(load, 2 * CONCURRENCY);
    await recordDispatches('brno-b', before);
    await finish(load);
    await site.process(instanceId).stop();
    await site.listAs(instanceId, InstanceState.Live);
    site.restart(instanceId);
    await site.waitForServers(MODEL, ZONES);
  });
});

describe('a planned stop', () => {
  it('of a sidecar cuts off no answer', async () => {
    // A deployment replaces a sidecar. Its drafts in progress finish first; the engine sees no
    // cancelled stream, and callers see nothing.
    const load = startLoad();
    await awaitDone(load, CONCURRENCY);
    const engine = enginesOf('brno-b')[0];
    const cancelledBefore = (await engineCounts(engine?.url ?? '')).cancelled;
    const instanceId = engine?.sidecarId ?? '';
    recorder.history.record({ kind: EventKind.StopAsked, instanceId });
    expect(await site.process(instanceId).stop()).toBe(0);
    const cutOff = (await engineCounts(engine?.url ?? '')).cancelled - cancelledBefore;
    recorder.history.record({ kind: EventKind.Stopped, instanceId, cutOff });
    await awaitDone(load, CONCURRENCY);
    site.restart(instanceId);
    await site.waitForServers(MODEL, ZONES);
    // Entries remember the goodbye; the process that took the old one's place must get work.
    const before = await startedIn('brno-b');
    await awaitEvent('work for the new process', async () =>
      (await startedIn('brno-b')) > before ? true : undefined,
    );
    await finish(load);
  });

  it('of an entry cuts off no answer', async () => {
    // The balancer stops sending new callers once the entry is not ready; answers in progress
    // are written to their end before the process exits.
    const instanceId = site.entries[2]?.id ?? '';
    let entries: readonly number[] = [0, 1, 2];
    const load = startLoad(() => entries);
    await awaitDone(load, CONCURRENCY);
    recorder.history.record({ kind: EventKind.StopAsked, instanceId });
    const stopped = site.process(instanceId).stop();
    await awaitEvent('not ready', async () =>
      getJson(`${site.entries[2]?.url}/readyz`).then(
        () => undefined,
        () => true,
      ),
    );
    entries = [0, 1];
    expect(await stopped).toBe(0);
    const cutOff = load.done.filter(({ resumed }) => resumed > 0).length;
    recorder.history.record({ kind: EventKind.Stopped, instanceId, cutOff });
    await finish(load);
    site.restart(instanceId);
    await awaitReady(2);
    await site.waitForServers(MODEL, ZONES);
  });
});

describe('a zone that dies at once', () => {
  it('loses no answer, and its cold servers are not overrun when it returns', async () => {
    // Power fails in one zone under load: entry, sidecars and engines die together. Callers of
    // that entry come back through another one. When the zone returns, its engines are cold and
    // every entry has waiting work for them; too much at once would make them fall over again.
    const load = startLoad();
    await awaitDone(load, CONCURRENCY);
    const victims = site.processes.filter(
      (one) => one.availabilityZone === 'brno-c' && !one.exited,
    );
    await Promise.all(victims.map((one) => one.kill()));
    await awaitDone(load, 3 * CONCURRENCY);
    for (const { id } of victims) site.restart(id);
    await awaitReady(2);
    await site.waitForServers(MODEL, ZONES);
    await awaitEvent('work in the returned zone', async () =>
      (await startedIn('brno-c')) > CONCURRENCY ? true : undefined,
    );
    const done = await load.stop();
    for (const { url, sidecarId } of enginesOf('brno-c')) {
      const { highestWhileCold, fallOvers } = await engineCounts(url);
      expect(fallOvers).toBe(0);
      recorder.history.record({
        kind: EventKind.ColdLoad,
        instanceId: sidecarId,
        highest: highestWhileCold,
        bearable: 6,
      });
    }
    expect(checkAll(recorder.history.events)).toEqual([]);
    // A draft whose entry died together with the sidecar that held its text is told so (3001).
    const refused = done.filter(({ complete }) => !complete).map(({ code }) => code);
    expect(refused.filter((code) => code !== 3001)).toEqual([]);
    expect(refused.length).toBeLessThanOrEqual(CONCURRENCY / ZONES);
  });
});
