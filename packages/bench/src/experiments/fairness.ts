/**
 * Equal treatment: one account at ten times the load beside small ones, and three houses side
 * by side; and goodput when callers who do not wait ask for more than there is.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import type { EnvironmentDocument } from '@lapisbridge/config';

import { startDraftLoad } from '../load/draft-load.js';
import type { DraftLoad } from '../load/draft-load.js';
import { createRecorder } from '../load/recorder.js';
import type { RecordedDraft, Recorder } from '../load/recorder.js';
import type { Cell, Experiment } from '../report/experiment.js';
import { percentilesOf } from '../report/percentiles.js';
import { launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';

const TOKENS = 30;
const MEASURE_MILLISECONDS = 6000;
const SETTLE_MILLISECONDS = 1500;
const SMALL = ['franchise-plzen', 'franchise-olomouc', 'franchise-liberec'];
const LARGE = 'head-office';
const HOUSES = ['house-carpati', 'house-dunarea', 'house-bucegi'];
const CAPACITY = 3 * 8;

function limited(document: EnvironmentDocument): EnvironmentDocument {
  return {
    ...document,
    accounts: document.accounts.map((account) => ({ ...account, weight: 1 })),
    models: document.models.map((model) => ({
      ...model,
      coldConcurrency: 8,
      maximumConcurrency: 8,
      expectedStepMilliseconds: 8,
    })),
    limits: { ...document.limits, queueMilliseconds: 3000, maximumQueuedRequests: 200 },
  };
}

function load(recorder: Recorder, accounts: readonly string[], concurrency: number): DraftLoad {
  return startDraftLoad(recorder, {
    concurrency,
    entries: () => [0, 1, 2],
    maximumTokens: TOKENS,
    accounts,
  });
}

function settled(drafts: readonly RecordedDraft[], since: number): number[] {
  const times: number[] = [];
  for (const { complete, startedAt, milliseconds } of drafts) {
    if (complete && startedAt >= since) times.push(milliseconds);
  }
  return times;
}

async function smallAccounts(site: Site, large: number): Promise<Cell[]> {
  const recorder = createRecorder(site);
  const big = load(recorder, [LARGE], large);
  const small = load(recorder, SMALL, 2 * SMALL.length);
  await sleep(SETTLE_MILLISECONDS);
  const since = performance.now();
  await sleep(MEASURE_MILLISECONDS);
  const [bigDrafts, drafts] = await Promise.all([big.stop(), small.stop()]);
  recorder.close();
  const { count, p50, p95, p99 } = percentilesOf(settled(drafts, since));
  const shed = drafts.filter(({ complete }) => !complete).length;
  return [large, count, p50, p95, p99, shed, settled(bigDrafts, since).length];
}

async function houses(site: Site): Promise<Cell[][]> {
  const recorder = createRecorder(site);
  const loads = HOUSES.map((house) => load(recorder, [house], CAPACITY / 2));
  await sleep(SETTLE_MILLISECONDS);
  const since = performance.now();
  await sleep(MEASURE_MILLISECONDS);
  const all = await Promise.all(loads.map((one) => one.stop()));
  recorder.close();
  return all.map((drafts, index) => {
    const { count, p50, p95, p99 } = percentilesOf(settled(drafts, since));
    return [HOUSES[index] ?? '', count, p50, p95, p99];
  });
}

/** Drafts answered whole per second when that many callers ask without ever waiting. */
async function goodput(site: Site, callers: number): Promise<Cell[]> {
  const recorder = createRecorder(site);
  const impatient = load(recorder, SMALL, callers);
  await sleep(SETTLE_MILLISECONDS);
  const since = performance.now();
  await sleep(MEASURE_MILLISECONDS);
  const drafts = await impatient.stop();
  recorder.close();
  const { count, p99 } = percentilesOf(settled(drafts, since));
  const shed = drafts.filter(({ complete }) => !complete).length;
  return [callers / CAPACITY, count / (MEASURE_MILLISECONDS / 1000), p99, shed];
}

export const fairnessExperiment: Experiment = {
  name: 'fairness',
  description:
    `Three engines that carry ${CAPACITY} drafts of ${TOKENS} tokens at once; closed loops of ` +
    'callers who come back 100 ms after a refusal, whatever Retry-After says.',
  async run({ progress }) {
    const options = { servicesPerZone: 0, engine: { warmUpTokens: 0 }, adjust: limited };
    const brno = await launchSite({ ...options, example: 'brno' });
    const small: Cell[][] = [];
    const overload: Cell[][] = [];
    try {
      for (const large of [0, CAPACITY / 2, 10 * 2 * SMALL.length]) {
        progress(`small accounts beside ${large} drafts of a large one`);
        small.push(await smallAccounts(brno, large));
      }
      for (const factor of [1, 1.5, 3, 6]) {
        progress(`overload ${factor}`);
        overload.push(await goodput(brno, Math.round(CAPACITY * factor)));
      }
    } finally {
      await brno.stop();
    }
    const wholesale = await launchSite({ ...options, example: 'wholesale' });
    try {
      progress('three houses');
      return {
        tables: [
          {
            title: 'Small accounts beside a large one (6 small drafts at once)',
            columns: [
              'large drafts at once',
              'small answered',
              'p50 ms',
              'p95 ms',
              'p99 ms',
              'small shed',
              'large answered',
            ],
            rows: small,
          },
          {
            title: 'Goodput under overload',
            columns: ['callers / capacity', 'whole answers/s', 'p99 ms', 'shed'],
            rows: overload,
          },
          {
            title: 'Three houses, each at half of the capacity',
            columns: ['house', 'answered', 'p50 ms', 'p95 ms', 'p99 ms'],
            rows: await houses(wholesale),
          },
        ],
        plots: [],
        notes: [],
      };
    } finally {
      await wholesale.stop();
    }
  },
};
