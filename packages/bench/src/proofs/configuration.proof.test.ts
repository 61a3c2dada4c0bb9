/**
 * An accepted configuration is in force everywhere and never reverts: racing operators, lost
 * answers, outages, and instances that were frozen or not there.
 */
import { ResultCode } from '@lapisbridge/errors';
import { checkAll, EventKind } from '@lapisbridge/history';
import { OutageKind } from '@lapisbridge/stand-ins';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { getJson, postJson } from '../site/http-json.js';
import { launchSite, OPERATOR_TOKEN } from '../site/site.js';
import type { Site } from '../site/site.js';
import { awaitEvent } from '../load/await-event.js';
import { platformFaults, statusOf } from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import type { Recorder } from '../load/recorder.js';

let site: Site;
let recorder: Recorder;

beforeAll(async () => {
  site = await launchSite({ example: 'brno', servicesPerZone: 0 });
});
afterAll(() => site.stop());
beforeEach(() => {
  recorder = createRecorder(site);
});
afterEach(async () => {
  await platformFaults(site, { outage: OutageKind.None, loseWriteAnswers: 0 });
  recorder.close();
});

interface Accepted {
  readonly version: number;
  readonly changeId: string;
}

function textWith(queueMilliseconds: number): string {
  const { document } = site;
  return JSON.stringify({ ...document, limits: { ...document.limits, queueMilliseconds } });
}

function apply(entry: number, base: number, queueMilliseconds: number): Promise<Accepted> {
  const body = { base, text: textWith(queueMilliseconds), author: `operator-${entry}` };
  return postJson<Accepted>(
    `${site.entries[entry]?.operatorUrl}/v1/document`,
    body,
    OPERATOR_TOKEN,
  );
}

async function currentVersion(): Promise<number> {
  const versions = await Promise.all(
    [0, 1, 2].map(async (entry) => (await statusOf(site, entry)).version),
  );
  return Math.max(...versions);
}

/** Records every instance's version as seen through one entry; true when all reached the goal. */
async function lookAtVersions(goal: number, entry = 0): Promise<true | undefined> {
  const { instances } = await statusOf(site, entry);
  const reachable = instances.filter(({ state }) => state !== 'dead');
  for (const { instanceId, version } of reachable) {
    recorder.history.record({ kind: EventKind.ConfigurationSeen, instanceId, version });
  }
  return reachable.every(({ version }) => version >= goal) ? true : undefined;
}

async function expectInForceEverywhere(version: number): Promise<void> {
  await awaitEvent(`version ${version} everywhere`, () => lookAtVersions(version));
  const { instances } = await statusOf(site);
  recorder.history.record({
    kind: EventKind.Settled,
    instanceIds: instances
      .filter(({ state }) => state !== 'dead')
      .map(({ instanceId }) => instanceId),
  });
  expect(checkAll(recorder.history.events)).toEqual([]);
}

function accepted(version: number): void {
  recorder.history.record({ kind: EventKind.ConfigurationAccepted, version });
}

describe('a configuration', () => {
  it('has one winner among operators who race, and the loser is told who changed what', async () => {
    // Two operators change the same environment at the same moment through two entries. If both
    // were accepted, one change would silently undo the other.
    for (let round = 0; round < 5; round += 1) {
      const base = await currentVersion();
      const results = await Promise.allSettled([
        apply(0, base, 2001 + round),
        apply(1, base, 3000 + round),
      ]);
      const winners = results.filter(({ status }) => status === 'fulfilled');
      expect(winners).toHaveLength(1);
      const loser = results.find((result) => result.status === 'rejected');
      expect(String(loser?.reason)).toContain(String(ResultCode.VersionConflict));
      expect(String(loser?.reason)).toContain('$.limits.queueMilliseconds');
      accepted(base + 1);
      await expectInForceEverywhere(base + 1);
    }
  });

  it('is told as accepted although the answer of the write was lost', async () => {
    // The table took the document and its answer was lost. Told "failed", the operator would
    // apply again and be refused by their own change.
    const base = await currentVersion();
    await platformFaults(site, { loseWriteAnswers: 1, loseOnlyKeys: 'documents/' });
    expect((await apply(0, base, 2100)).version).toBe(base + 1);
    accepted(base + 1);
    await expectInForceEverywhere(base + 1);
  });

  it('is told as unknown, with its id, while the table gives no answer', async () => {
    // Neither the write's answer nor a read comes back. The operator gets the change id and can
    // ask later; nothing is claimed that is not known.
    const base = await currentVersion();
    await platformFaults(site, { outage: OutageKind.Errors });
    await expect(apply(0, base, 2200)).rejects.toThrow(String(ResultCode.ChangeUnknown));
    await platformFaults(site, { outage: OutageKind.None });
    expect(await currentVersion()).toBe(base);
  });

  it('reaches an instance that starts while the store is down, from its peers', async () => {
    // A replaced instance knows nothing and cannot read the table. Serving without a configuration
    // is impossible, and waiting for the outage to end would cost capacity when it is short.
    const version = await currentVersion();
    const victim = site.engines[0]?.sidecarId ?? '';
    await site.process(victim).kill();
    await platformFaults(site, { outage: OutageKind.Errors });
    await awaitEvent('the death to be known', async () => {
      const { instances } = await statusOf(site);
      const view = instances.find(({ instanceId }) => instanceId === victim);
      return view?.load === undefined ? true : undefined;
    });
    site.restart(victim);
    await site.waitForServers('inspection-draft', site.engines.length);
    await expectInForceEverywhere(version);
  });

  it('does not go back when an instance wakes that was frozen through two changes', async () => {
    // The thawed entry holds a version that is two changes old and could hand it to its peers, or
    // go on applying it to callers.
    const frozen = site.process(site.entries[2]?.id ?? '');
    const base = await currentVersion();
    frozen.freeze();
    await apply(0, base, 2300);
    accepted(base + 1);
    await apply(1, base + 1, 2400);
    accepted(base + 2);
    frozen.thaw();
    await awaitEvent('the thawed entry to follow', async () =>
      (await statusOf(site, 2)).version === base + 2 ? true : undefined,
    );
    await expectInForceEverywhere(base + 2);
  });

  it('is not promoted over a target that has moved', async () => {
    // An operator promotes from trial on top of a production version that another one has
    // replaced meanwhile. Promoting all the same would undo that change.
    const base = await currentVersion();
    const trial = {
      version: 1,
      document: { changeId: 'trial-1', author: 'a', acceptedAt: '', text: textWith(2500) },
    };
    const key = 'environments/trial/history/000000001';
    await postJson(`${site.platformUrl}/table/transactions`, {
      transactions: [{ puts: [{ key, value: trial }] }],
    });
    const promote = (from: number): Promise<Accepted> =>
      postJson<Accepted>(
        `${site.entries[0]?.operatorUrl}/v1/promote`,
        { from: 'trial', version: 1, base: from },
        OPERATOR_TOKEN,
      );
    await expect(promote(base - 1)).rejects.toThrow(String(ResultCode.VersionConflict));
    expect((await promote(base)).version).toBe(base + 1);
    accepted(base + 1);
    await expectInForceEverywhere(base + 1);
  });

  it('is refused whole, with every problem, when it is not valid', async () => {
    const url = `${site.entries[0]?.operatorUrl}/v1/document`;
    const text = JSON.stringify({ ...site.document, limits: { queueMillisecond: 1 } });
    const refused = postJson(url, { base: 0, text }, OPERATOR_TOKEN);
    await expect(refused).rejects.toThrow('did you mean \\"queueMilliseconds\\"');
    await expect(getJson(url, 'wrong-token')).rejects.toThrow(String(ResultCode.OperatorUnknown));
  });
});
