/**
 * Choice of a backend server: prefix affinity on and off, and one engine that is four times
 * slower than the others, against the baseline rules.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { ChoiceRule } from '@lapisbridge/types';

import { engineFaults, statusOf } from '../load/operator.js';
import { createRecorder } from '../load/recorder.js';
import type { RecordedDraft, Recorder } from '../load/recorder.js';
import type { Cell, Experiment } from '../report/experiment.js';
import { percentilesOf } from '../report/percentiles.js';
import { postJson } from '../site/http-json.js';
import { launchSite, OPERATOR_TOKEN } from '../site/site.js';
import type { Site } from '../site/site.js';

const TOKENS = 20;
const CONCURRENCY = 18;
const MEASURE_MILLISECONDS = 4000;
const SETTLE_MILLISECONDS = 1000;
const PREAMBLES = 12;
const PREAMBLE_CHARACTERS = 2400;
const SLOW_FACTOR = 4;

interface RoutingPlan {
  readonly name: string;
  readonly choiceRule: ChoiceRule;
  readonly affinityCharacters: number;
}

const PLANS: readonly RoutingPlan[] = [
  { name: 'affinity', choiceRule: ChoiceRule.Estimated, affinityCharacters: 256 },
  { name: 'estimate alone', choiceRule: ChoiceRule.Estimated, affinityCharacters: 0 },
  { name: 'least outstanding', choiceRule: ChoiceRule.LeastOutstanding, affinityCharacters: 0 },
  { name: 'in turn', choiceRule: ChoiceRule.RoundRobin, affinityCharacters: 0 },
];

async function applyPlan(site: Site, plan: RoutingPlan): Promise<void> {
  const { version } = await statusOf(site);
  const { choiceRule, affinityCharacters } = plan;
  const routing = { ...site.document.routing, choiceRule, affinityCharacters };
  const text = JSON.stringify({ ...site.document, routing });
  const body = { base: version, text, author: 'bench' };
  await postJson(`${site.entries[0]?.operatorUrl}/v1/document`, body, OPERATOR_TOKEN);
  await sleep(SETTLE_MILLISECONDS);
}

function preamble(index: number): string {
  return `preamble ${index} `.padEnd(PREAMBLE_CHARACTERS, `findings ${index}, `);
}

async function drive(recorder: Recorder): Promise<readonly RecordedDraft[]> {
  const done: RecordedDraft[] = [];
  const end = performance.now() + MEASURE_MILLISECONDS;
  let next = 0;
  async function loop(): Promise<void> {
    while (performance.now() < end) {
      next += 1;
      const prompt = `${preamble(next % PREAMBLES)} task ${next}`;
      done.push(await recorder.draft({ entry: next, maximumTokens: TOKENS, prompt }));
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, loop));
  return done;
}

async function measure(site: Site, plan: RoutingPlan, slowed: boolean): Promise<Cell[]> {
  await applyPlan(site, plan);
  const [first] = site.engines;
  await engineFaults(first?.url ?? '', { slowFactor: slowed ? SLOW_FACTOR : 1 });
  const recorder = createRecorder(site);
  await drive(recorder);
  const done = await drive(recorder);
  recorder.close();
  const firsts = percentilesOf(
    done.flatMap(({ firstTextMilliseconds }) => firstTextMilliseconds ?? []),
  );
  const wholes = percentilesOf(done.map(({ milliseconds }) => milliseconds));
  return [
    slowed ? `one engine ${SLOW_FACTOR}× slower` : 'all alike',
    plan.name,
    done.length / (MEASURE_MILLISECONDS / 1000),
    firsts.p50,
    firsts.p99,
    wholes.p50,
    wholes.p95,
    done.filter(({ complete }) => !complete).length,
  ];
}

export const routingExperiment: Experiment = {
  name: 'routing',
  description:
    `${CONCURRENCY} drafts of ${TOKENS} tokens at once over six engines, ${PREAMBLES} preambles of ` +
    `${PREAMBLE_CHARACTERS} characters; an engine caches three of them. The second of two runs counts.`,
  async run({ progress }) {
    const site = await launchSite({
      example: 'brno',
      servicesPerZone: 0,
      runnersPerZone: 2,
      engine: {
        warmUpTokens: 0,
        prefillMillisecondsPerBlock: 2,
        cacheBlocks: Math.ceil((3 * PREAMBLE_CHARACTERS) / 64),
      },
      adjust: (document) => ({
        ...document,
        models: document.models.map((model) => ({ ...model, coldConcurrency: 8 })),
      }),
    });
    const rows: Cell[][] = [];
    try {
      for (const slowed of [false, true]) {
        for (const plan of PLANS) {
          progress(`${plan.name}, slowed: ${slowed}`);
          rows.push(await measure(site, plan, slowed));
        }
      }
    } finally {
      await site.stop();
    }
    const columns = [
      'engines',
      'rule',
      'drafts/s',
      'first token p50 ms',
      'p99 ms',
      'whole p50 ms',
      'p95 ms',
      'not whole',
    ];
    return { tables: [{ title: 'Choice', columns, rows }], plots: [], notes: [] };
  },
};
