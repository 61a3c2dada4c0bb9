/**
 * What control costs each role while no requests run, against the numbers of entries,
 * sidecars and accounts and the rate of changes: the slopes behind docs/CAPACITY.md.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { Role } from '@lapisbridge/types';

import { statusOf } from '../load/operator.js';
import type { Cell, Experiment } from '../report/experiment.js';
import { getJson, getText, postJson } from '../site/http-json.js';
import { launchSite, OPERATOR_TOKEN } from '../site/site.js';
import type { Site } from '../site/site.js';
import { rateBetween, readUsage } from './process-usage.js';
import type { UsageRate } from './process-usage.js';

interface SlopePlan {
  readonly entriesPerZone: number;
  readonly servicesPerZone: number;
  readonly accounts: number;
  readonly changesPerMinute: number;
}

const BASE: SlopePlan = {
  entriesPerZone: 1,
  servicesPerZone: 4,
  accounts: 10,
  changesPerMinute: 0,
};
const PLANS: readonly SlopePlan[] = [
  BASE,
  { ...BASE, servicesPerZone: 24 },
  { ...BASE, entriesPerZone: 8 },
  { ...BASE, accounts: 2300 },
  { ...BASE, accounts: 2300, changesPerMinute: 20 },
];
/** What instances learn of each other at a start is gossip too; it has to have died down. */
const SETTLE_MILLISECONDS = 20_000;
const MEASURE_MILLISECONDS = 9000;
const ZONES = 3;
const PRODUCT_ROLES: readonly string[] = [Role.Entry, Role.Sidecar];
const MILLISECONDS_PER_MINUTE = 60_000;

interface RoleRate extends UsageRate {
  readonly gossipBytesPerSecond: number;
}

async function gossipBytes(site: Site): Promise<number> {
  let sum = 0;
  for (const { url } of site.entries) {
    const text = await getText(`${url}/metrics`);
    sum += Number(/^lapisbridge_gossip_sent_bytes (\d+)/m.exec(text)?.[1] ?? 0);
  }
  return sum / site.entries.length;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

async function applyOnce(site: Site, queueMilliseconds: number): Promise<void> {
  const { version } = await statusOf(site);
  const limits = { ...site.document.limits, queueMilliseconds };
  const text = JSON.stringify({ ...site.document, limits });
  const body = { base: version, text, author: 'bench' };
  await postJson(`${site.entries[0]?.operatorUrl}/v1/document`, body, OPERATOR_TOKEN);
}

async function changeFor(site: Site, plan: SlopePlan, milliseconds: number): Promise<number[]> {
  const spreads: number[] = [];
  const end = performance.now() + milliseconds;
  if (plan.changesPerMinute === 0) {
    await sleep(milliseconds);
    return spreads;
  }
  const period = MILLISECONDS_PER_MINUTE / plan.changesPerMinute;
  for (let change = 0; performance.now() < end; change += 1) {
    const startedAt = performance.now();
    await applyOnce(site, 2000 + (change % 2));
    spreads.push(await spreadTime(site, startedAt));
    await sleep(Math.max(0, period - (performance.now() - startedAt)));
  }
  return spreads;
}

/** Time until every instance has told that the newest version is in force there. */
async function spreadTime(site: Site, startedAt: number): Promise<number> {
  const { version } = await statusOf(site);
  for (let look = 0; look < 200; look += 1) {
    const { instances } = await statusOf(site);
    if (instances.every((instance) => instance.version >= version)) break;
    await sleep(50);
  }
  return performance.now() - startedAt;
}

async function measure(
  plan: SlopePlan,
): Promise<{ readonly rows: Cell[][]; readonly spreads: readonly number[] }> {
  const site = await launchSite({
    example: 'brno',
    runnersPerZone: 0,
    servicesPerZone: plan.servicesPerZone,
    entriesPerZone: plan.entriesPerZone,
    adjust: (document) => ({
      ...document,
      models: [],
      accounts: Array.from({ length: plan.accounts }, (_, index) => ({
        ...document.accounts[index % document.accounts.length],
        name: `account-${index}`,
      })),
    }),
  });
  try {
    await sleep(SETTLE_MILLISECONDS);
    const products = site.processes.filter(({ role }) => PRODUCT_ROLES.includes(role));
    const before = products.map(({ pid }) => readUsage(pid));
    const gossipBefore = await gossipBytes(site);
    const countsBefore = await getJson<{ reads: number; writes: number }>(
      `${site.platformUrl}/counts`,
    );
    const startedAt = performance.now();
    const spreads = await changeFor(site, plan, MEASURE_MILLISECONDS);
    const seconds = (performance.now() - startedAt) / 1000;
    const gossip = ((await gossipBytes(site)) - gossipBefore) / seconds;
    const counts = await getJson<{ reads: number; writes: number }>(`${site.platformUrl}/counts`);
    const rates = products.map(({ role, pid }, index) => ({
      role,
      ...rateBetween(before[index], readUsage(pid)),
      gossipBytesPerSecond: gossip,
    }));
    const rows = PRODUCT_ROLES.map((role) => {
      const own: RoleRate[] = rates.filter((rate) => rate.role === role);
      return [
        role,
        plan.entriesPerZone * ZONES,
        plan.servicesPerZone * ZONES,
        plan.accounts,
        plan.changesPerMinute,
        mean(own.map(({ corePercent }) => corePercent)),
        mean(own.map(({ residentMebibytes }) => residentMebibytes)),
        mean(own.map(({ writtenBytesPerSecond }) => writtenBytesPerSecond)),
        gossip,
        (counts.reads - countsBefore.reads) / seconds,
      ];
    });
    return { rows, spreads };
  } finally {
    await site.stop();
  }
}

export const slopesExperiment: Experiment = {
  name: 'slopes',
  description: 'Cost of control per process with no requests, means over all processes of a role.',
  async run({ progress }) {
    const rows: Cell[][] = [];
    const notes: string[] = [];
    for (const plan of PLANS) {
      progress(JSON.stringify(plan));
      const measured = await measure(plan);
      rows.push(...measured.rows);
      if (measured.spreads.length > 0) {
        const slowest = Math.max(...measured.spreads).toFixed(0);
        notes.push(
          `${measured.spreads.length} changes of a document with ${plan.accounts} accounts were seen ` +
            `in force at every instance within ${slowest} ms at most, as told by one entry.`,
        );
      }
    }
    const columns = [
      'role',
      'entries',
      'sidecars',
      'accounts',
      'changes a minute',
      '% of a core',
      'resident MiB',
      'TCP bytes/s written',
      'gossip bytes/s sent',
      'table reads/s, all',
    ];
    return { tables: [{ title: 'Control per process', columns, rows }], plots: [], notes };
  },
};
