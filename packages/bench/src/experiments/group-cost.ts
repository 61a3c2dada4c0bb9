/**
 * What a rank group costs its leader, its other ranks and the table, against its size.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Cell, Experiment } from '../report/experiment.js';
import { getJson } from '../site/http-json.js';
import { launchSite, RANK_GROUP } from '../site/site.js';
import { rateBetween, readUsage } from './process-usage.js';
import type { UsageRate } from './process-usage.js';

const SIZES = [4, 16, 48];
const SETTLE_MILLISECONDS = 20_000;
const MEASURE_MILLISECONDS = 12_000;
const LEASE_KEY = encodeURIComponent(`groups/brno/${RANK_GROUP}/lease`);

interface Counts {
  readonly reads: number;
  readonly writes: number;
}

function mean(rates: readonly UsageRate[], pick: (rate: UsageRate) => number): number {
  return rates.reduce((sum, rate) => sum + pick(rate), 0) / Math.max(1, rates.length);
}

async function measure(ranks: number): Promise<Cell[]> {
  const site = await launchSite({
    example: 'brno',
    runnersPerZone: 0,
    servicesPerZone: 0,
    ranks,
    adjust: (document) => ({ ...document, models: [] }),
  });
  try {
    await sleep(SETTLE_MILLISECONDS);
    const { value } = await getJson<{ value: { holder: string } }>(
      `${site.platformUrl}/table/rows/${LEASE_KEY}`,
    );
    const sidecars = site.processes.filter(({ id }) => id.includes('-rank-'));
    const before = sidecars.map(({ pid }) => readUsage(pid));
    const countsBefore = await getJson<Counts>(`${site.platformUrl}/counts`);
    await sleep(MEASURE_MILLISECONDS);
    const counts = await getJson<Counts>(`${site.platformUrl}/counts`);
    const rates = sidecars.map(({ pid }, index) => rateBetween(before[index], readUsage(pid)));
    const leader = rates.filter((_rate, index) => sidecars[index]?.id === value.holder);
    const others = rates.filter((_rate, index) => sidecars[index]?.id !== value.holder);
    const seconds = MEASURE_MILLISECONDS / 1000;
    return [
      ranks,
      mean(leader, ({ corePercent }) => corePercent),
      mean(leader, ({ writtenBytesPerSecond }) => writtenBytesPerSecond),
      mean(leader, ({ residentMebibytes }) => residentMebibytes),
      mean(others, ({ corePercent }) => corePercent),
      mean(others, ({ writtenBytesPerSecond }) => writtenBytesPerSecond),
      (counts.reads - countsBefore.reads) / seconds,
      (counts.writes - countsBefore.writes) / seconds,
    ];
  } finally {
    await site.stop();
  }
}

export const groupCostExperiment: Experiment = {
  name: 'group-cost',
  description: 'One rank group under a drifting load with the settings of examples/brno.json.',
  async run({ progress }) {
    const rows: Cell[][] = [];
    for (const ranks of SIZES) {
      progress(`${ranks} ranks`);
      rows.push(await measure(ranks));
    }
    const columns = [
      'ranks',
      'leader % of a core',
      'leader TCP bytes/s',
      'leader MiB',
      'other rank % of a core',
      'other rank TCP bytes/s',
      'table reads/s, all',
      'table writes/s, all',
    ];
    return { tables: [{ title: 'Cost of a group', columns, rows }], plots: [], notes: [] };
  },
};
