/**
 * Processor time that requests and tokens cost an entry and a sidecar: what the data path
 * needs beside control.
 */
import type { Cell, Experiment } from '../report/experiment.js';
import { createCaller } from '../site/caller.js';
import { launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';
import { readUsage } from './process-usage.js';

const STREAMS = 32;
const LENGTHS = [2, 400];
const REQUESTS: Readonly<Record<number, number>> = { 2: 2000, 400: 160 };
const KILO = 1000;

interface Cost {
  readonly entryMilliseconds: number;
  readonly sidecarMilliseconds: number;
  readonly requests: number;
}

/** All traffic goes through the first entry; sidecars are summed, whichever took it. */
async function measure(site: Site, tokens: number): Promise<Cost> {
  const entry = site.entries[0];
  const pids = site.engines.map(({ sidecarId }) => site.process(sidecarId).pid);
  const entryPid = site.process(entry?.id ?? '').pid;
  const spent = (pid: number): number => readUsage(pid).processorMilliseconds;
  const sumSpent = (): number => pids.reduce((sum, pid) => sum + spent(pid), 0);
  const caller = createCaller();
  const requests = REQUESTS[tokens] ?? 1;
  const entryBefore = spent(entryPid);
  const sidecarsBefore = sumSpent();
  let next = 0;
  async function loop(): Promise<void> {
    while (next < requests) {
      next += 1;
      await caller.draft(entry?.url ?? '', {
        account: 'head-office',
        model: 'inspection-draft',
        messages: [{ role: 'user', content: `${next} tokens: ${tokens}` }],
        maximumTokens: tokens,
      });
    }
  }
  await Promise.all(Array.from({ length: STREAMS }, loop));
  caller.close();
  return {
    entryMilliseconds: spent(entryPid) - entryBefore,
    sidecarMilliseconds: sumSpent() - sidecarsBefore,
    requests,
  };
}

/** Splits the cost of two answer lengths into a part for each request and one for each token. */
function split(short: number, long: number): { readonly request: number; readonly token: number } {
  const [few = 0, many = 0] = LENGTHS;
  const token = (long - short) / (many - few);
  return { request: short - few * token, token };
}

export const tokenCostExperiment: Experiment = {
  name: 'token-cost',
  description: `Processor time of entry and sidecar, ${STREAMS} streams at once, answers of ${LENGTHS.join(' and ')} tokens.`,
  async run({ progress }) {
    const site = await launchSite({
      example: 'brno',
      servicesPerZone: 0,
      engine: { warmUpTokens: 0, stepMilliseconds: 4, prefillMillisecondsPerBlock: 0 },
      adjust: (document) => ({
        ...document,
        models: document.models.map((model) => ({ ...model, coldConcurrency: 64 })),
      }),
    });
    const costs: Cost[] = [];
    try {
      progress('warming up');
      await measure(site, LENGTHS[0] ?? 0);
      for (const tokens of LENGTHS) {
        progress(`${tokens} tokens`);
        costs.push(await measure(site, tokens));
      }
    } finally {
      await site.stop();
    }
    const perRequest = (pick: (cost: Cost) => number): number[] =>
      costs.map((cost) => pick(cost) / cost.requests);
    const [entryShort = 0, entryLong = 0] = perRequest(
      ({ entryMilliseconds }) => entryMilliseconds,
    );
    const [sidecarShort = 0, sidecarLong = 0] = perRequest(
      ({ sidecarMilliseconds }) => sidecarMilliseconds,
    );
    const entry = split(entryShort, entryLong);
    const sidecar = split(sidecarShort, sidecarLong);
    const rows: Cell[][] = [
      ['entry', entryShort, entryLong, entry.request, entry.token * KILO],
      ['sidecar', sidecarShort, sidecarLong, sidecar.request, sidecar.token * KILO],
    ];
    const columns = [
      'role',
      `ms an answer of ${LENGTHS[0]}`,
      `ms an answer of ${LENGTHS[1]}`,
      'ms a request',
      'ms a thousand tokens',
    ];
    return {
      tables: [{ title: 'Processor time', columns, rows }],
      plots: [],
      notes: [],
    };
  },
};
