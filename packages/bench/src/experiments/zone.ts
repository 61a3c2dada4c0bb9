/**
 * Service while an availability zone leaves and returns, planned and sudden, against choosing
 * in turn and choosing the least outstanding, each with the same retries and repairs.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { ChoiceRule, ServiceState } from '@lapisbridge/types';

import { startDraftLoad } from '../load/draft-load.js';
import { orderZone, statusOf } from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import type { RecordedDraft } from '../load/recorder.js';
import type { Cell, Experiment } from '../report/experiment.js';
import { percentilesOf } from '../report/percentiles.js';
import { getJson, postJson } from '../site/http-json.js';
import { launchSite, OPERATOR_TOKEN } from '../site/site.js';
import type { Site } from '../site/site.js';

enum Departure {
  Planned = 'planned',
  Sudden = 'sudden',
}

const ZONE = 'brno-c';
const RUNNERS_PER_ZONE = 2;
const CONCURRENCY_PER_RUNNER = 12;
const REMAINING_CAPACITY = 2 * RUNNERS_PER_ZONE * CONCURRENCY_PER_RUNNER;
const TOKENS = 40;
const DEADLINE_MILLISECONDS = 4000;
const PHASE_MILLISECONDS = 3000;
const SETTLE_MILLISECONDS = 1000;

interface RunPlan {
  readonly rule: ChoiceRule;
  readonly departure: Departure;
  readonly loadShare: number;
}

interface Phase {
  readonly name: string;
  readonly from: number;
  readonly to: number;
}

async function applyRule(site: Site, choiceRule: ChoiceRule): Promise<void> {
  const { version } = await statusOf(site);
  const document = { ...site.document, routing: { ...site.document.routing, choiceRule } };
  const body = { base: version, text: JSON.stringify(document), author: 'bench' };
  await postJson(`${site.entries[0]?.operatorUrl}/v1/document`, body, OPERATOR_TOKEN);
  await sleep(SETTLE_MILLISECONDS);
}

async function awaitReady(site: Site): Promise<void> {
  for (const { url } of site.entries) {
    for (let look = 0; look < 200; look += 1) {
      const ready = await getJson(`${url}/readyz`).then(
        () => true,
        () => false,
      );
      if (ready) break;
      await sleep(50);
    }
  }
}

/** Takes the zone out, waits, and brings it back; entries of a dead zone get no new callers. */
async function leaveAndReturn(
  site: Site,
  departure: Departure,
  useEntries: (entries: readonly number[]) => void,
): Promise<{ readonly leftAt: number; readonly returnedAt: number }> {
  const leftAt = performance.now();
  switch (departure) {
    case Departure.Planned: {
      await orderZone(site, ZONE, ServiceState.Drained);
      useEntries([0, 1]);
      await sleep(PHASE_MILLISECONDS);
      const returnedAt = performance.now();
      await orderZone(site, ZONE, ServiceState.InService);
      await awaitReady(site);
      return { leftAt, returnedAt };
    }
    case Departure.Sudden: {
      const victims = site.processes.filter((one) => one.availabilityZone === ZONE && !one.exited);
      await Promise.all(victims.map((one) => one.kill()));
      useEntries([0, 1]);
      await sleep(PHASE_MILLISECONDS);
      const returnedAt = performance.now();
      for (const { id } of victims) site.restart(id);
      await awaitReady(site);
      return { leftAt, returnedAt };
    }
    default: {
      const unreachable: never = departure;
      throw new Error(String(unreachable));
    }
  }
}

function worstToBest(drafts: readonly RecordedDraft[]): number {
  const byAccount = new Map<string, number[]>();
  for (const { account, milliseconds } of drafts) {
    byAccount.set(account, [...(byAccount.get(account) ?? []), milliseconds]);
  }
  const p95s = [...byAccount.values()].map((values) => percentilesOf(values).p95);
  return Math.max(...p95s) / Math.min(...p95s);
}

function describePhase(drafts: readonly RecordedDraft[], phase: Phase): Cell[] {
  const during = drafts.filter(({ startedAt }) => startedAt >= phase.from && startedAt < phase.to);
  const onTime = during.filter(
    ({ complete, milliseconds }) => complete && milliseconds <= DEADLINE_MILLISECONDS,
  );
  const shed = during.filter(({ complete, code }) => !complete && code !== undefined);
  const lost = during.length - shed.length - during.filter(({ complete }) => complete).length;
  const first = percentilesOf(
    during.flatMap(({ firstTextMilliseconds }) => firstTextMilliseconds ?? []),
  );
  return [
    phase.name,
    during.length,
    (100 * onTime.length) / Math.max(1, during.length),
    shed.length,
    lost,
    first.p50,
    first.p99,
    worstToBest(during),
  ];
}

async function run(site: Site, plan: RunPlan): Promise<Cell[][]> {
  await applyRule(site, plan.rule);
  const recorder = createRecorder(site);
  let entries: readonly number[] = [0, 1, 2];
  const load = startDraftLoad(recorder, {
    concurrency: Math.round(REMAINING_CAPACITY * plan.loadShare),
    entries: () => entries,
    maximumTokens: TOKENS,
    timeoutMilliseconds: DEADLINE_MILLISECONDS,
    accounts: site.document.accounts.map(({ name }) => name),
  });
  await sleep(SETTLE_MILLISECONDS);
  const startedAt = performance.now();
  await sleep(PHASE_MILLISECONDS);
  const { leftAt, returnedAt } = await leaveAndReturn(site, plan.departure, (given) => {
    entries = given;
  });
  entries = [0, 1, 2];
  await sleep(PHASE_MILLISECONDS);
  const drafts = await load.stop();
  recorder.close();
  await site.waitForServers('inspection-draft', site.engines.length);
  const phases: Phase[] = [
    { name: 'before', from: startedAt, to: leftAt },
    { name: 'zone out', from: leftAt, to: returnedAt },
    { name: 'returned', from: returnedAt, to: Infinity },
  ];
  const head = [plan.departure, `${100 * plan.loadShare}%`, plan.rule];
  return phases.map((phase) => [...head, ...describePhase(drafts, phase)]);
}

function plans(): RunPlan[] {
  const list: RunPlan[] = [];
  for (const departure of Object.values(Departure)) {
    for (const loadShare of [0.5, 0.7, 0.9]) {
      for (const rule of Object.values(ChoiceRule)) list.push({ rule, departure, loadShare });
    }
  }
  return list;
}

export const zoneExperiment: Experiment = {
  name: 'zone',
  description:
    `Drafts of ${TOKENS} tokens with ${DEADLINE_MILLISECONDS} ms each while zone ${ZONE} of three ` +
    'leaves for 3 s and returns, at a share of what the two other zones can carry.',
  async run({ progress }) {
    const site = await launchSite({
      example: 'brno',
      servicesPerZone: 0,
      runnersPerZone: RUNNERS_PER_ZONE,
      engine: { warmUpTokens: 300, coldCapacity: 4, stepMilliseconds: 8 },
      adjust: (document) => ({
        ...document,
        models: document.models.map((model) => ({
          ...model,
          coldConcurrency: 4,
          maximumConcurrency: CONCURRENCY_PER_RUNNER,
        })),
      }),
    });
    const rows: Cell[][] = [];
    try {
      for (const plan of plans()) {
        progress(`${plan.departure}, ${plan.loadShare}, ${plan.rule}`);
        rows.push(...(await run(site, plan)));
      }
    } finally {
      await site.stop();
    }
    const columns = [
      'departure',
      'load',
      'rule',
      'phase',
      'drafts',
      'whole and on time %',
      'shed',
      'lost',
      'first token p50 ms',
      'p99 ms',
      'worst/best account p95',
    ];
    return { tables: [{ title: 'Service', columns, rows }], plots: [], notes: [] };
  },
};
