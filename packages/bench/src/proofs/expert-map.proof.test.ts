/**
 * In every step, all ranks of a group use one and the same expert map: whole processes whose
 * leader, ranks and table fail during rollouts.
 */
import { checkAll, createHistory, EventKind } from '@lapisbridge/history';
import { OutageKind } from '@lapisbridge/stand-ins';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';

import { getJson } from '../site/http-json.js';
import { launchSite, RANK_GROUP } from '../site/site.js';
import type { Site } from '../site/site.js';
import { awaitEvent } from '../load/await-event.js';
import { platformFaults } from '../load/operator.js';

const RANKS = 4;
const LEASE_KEY = encodeURIComponent(`groups/brno/${RANK_GROUP}/lease`);

interface GroupView {
  readonly step: number;
  readonly versions: readonly number[];
  readonly records: readonly { readonly step: number; readonly versions: readonly number[] }[];
}

let site: Site;

beforeAll(async () => {
  site = await launchSite({
    example: 'brno',
    runnersPerZone: 0,
    servicesPerZone: 0,
    ranks: RANKS,
    adjust: (document) => ({
      ...document,
      models: [],
      placement: {
        ...document.placement,
        windowMilliseconds: 200,
        leaseMilliseconds: 900,
        minimumGain: 0.005,
        moveCostSteps: 0,
      },
    }),
  });
});
afterAll(() => site.stop());
afterEach(async () => {
  await platformFaults(site, { outage: OutageKind.None });
  for (const one of site.processes) {
    if (!one.exited) one.thaw();
  }
});

function look(path = '/'): Promise<GroupView> {
  return getJson<GroupView>(`${site.groupUrl}${path}`);
}

async function leaderId(): Promise<string> {
  const row = await getJson<{ value: { holder: string } }>(
    `${site.platformUrl}/table/rows/${LEASE_KEY}`,
  );
  return row.value.holder;
}

/** Waits for a step on a newer map than before, by all ranks. */
async function awaitNewMap(): Promise<void> {
  const before = Math.max(0, ...(await look()).versions);
  await awaitEvent('a step on a newer map', async () => {
    const { versions, records } = await look();
    const last = records.at(-1)?.versions ?? [];
    const newer = last.length > 0 && last.every((version) => version > before);
    return newer && versions.every((version) => version > before) ? true : undefined;
  });
}

async function expectOneMapPerStep(): Promise<void> {
  const history = createHistory();
  const { records } = await look();
  for (const { step, versions } of records) {
    for (const [rank, mapVersion] of versions.entries()) {
      history.record({ kind: EventKind.MapStep, group: RANK_GROUP, rank, step, mapVersion });
    }
  }
  expect(records.length).toBeGreaterThan(0);
  expect(checkAll(history.events)).toEqual([]);
}

describe('a group of ranks', () => {
  it('changes maps together while the load drifts', async () => {
    await awaitNewMap();
    await awaitNewMap();
    await expectOneMapPerStep();
  });

  it('stays on one map when its leader is killed', async () => {
    // The leader dies somewhere in a rollout. Some ranks may be paused, some switched; whoever
    // takes over must bring all of them forward, or the group would stand still for good.
    await awaitNewMap();
    const leader = await leaderId();
    await site.process(leader).kill();
    await awaitEvent('another leader', async () =>
      (await leaderId()) === leader ? undefined : true,
    );
    site.restart(leader);
    await awaitNewMap();
    await expectOneMapPerStep();
  });

  it('stays on one map when its leader is frozen past its lease and comes back', async () => {
    // Thawed, the old leader still believes that it leads and goes on with its orders. Ranks that
    // obeyed would switch or resume alone.
    await awaitNewMap();
    const leader = await leaderId();
    site.process(leader).freeze();
    await awaitEvent('another leader', async () =>
      (await leaderId()) === leader ? undefined : true,
    );
    site.process(leader).thaw();
    await awaitNewMap();
    await expectOneMapPerStep();
  });

  it('takes a restarted rank back only on the committed map', async () => {
    // A rank's engine restarts and holds no experts. Until it is on the group's map the group
    // cannot step; joining on any other map would break every answer.
    await awaitNewMap();
    await look('/restart?rank=2');
    await awaitNewMap();
    await expectOneMapPerStep();
  });

  it('begins no change while the store is down, and steps on', async () => {
    await awaitNewMap();
    await platformFaults(site, { outage: OutageKind.Errors });
    const { step } = await look();
    await awaitEvent('steps during the outage', async () =>
      (await look()).step > step + 20 ? true : undefined,
    );
    await platformFaults(site, { outage: OutageKind.None });
    await awaitNewMap();
    await expectOneMapPerStep();
  });
});
