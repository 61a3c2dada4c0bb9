/**
 * What lapisbridge adds to calling an engine directly: time to the first token and between
 * tokens, look-ups a second on one core, memory for an open stream.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

import type { Random } from '@lapisbridge/kernel';

import type { Cell, Experiment } from '../report/experiment.js';
import { percentilesOf } from '../report/percentiles.js';
import { createCaller } from '../site/caller.js';
import { accountKey, launchSite } from '../site/site.js';
import type { Site } from '../site/site.js';
import { rateBetween, readUsage } from './process-usage.js';

/** Answers are longer where more streams are open, so that arrivals stay below what a core can take. */
interface StreamPlan {
  readonly streams: number;
  readonly tokens: number;
  readonly rounds: number;
}

const STREAM_PLANS: readonly StreamPlan[] = [
  { streams: 1, tokens: 50, rounds: 60 },
  { streams: 32, tokens: 200, rounds: 5 },
  { streams: 256, tokens: 600, rounds: 2 },
];
const STEP_MILLISECONDS = 4;
const LOOK_UP_CONCURRENCY = 64;
const LOOK_UP_MILLISECONDS = 4000;
const OPEN_STREAMS = 400;
const BYTES_PER_KIB = 1024;
const KIB_PER_MIB = 1024;

interface Timing {
  readonly first: number;
  readonly perToken: number;
}

async function timeStream(
  agent: Agent,
  url: string,
  model: string,
  account: string,
  tokenCount: number,
  index: number,
): Promise<Timing> {
  const startedAt = performance.now();
  let first = 0;
  let last = 0;
  let tokens = 0;
  const parser = createParser({
    onEvent({ data }) {
      if (!data.includes('"content"')) return;
      last = performance.now();
      if (tokens === 0) first = last - startedAt;
      tokens += 1;
    },
  });
  const reply = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { authorization: `Bearer ${accountKey(account)}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model,
      stream: true,
      max_tokens: tokenCount,
      messages: [{ role: 'user', content: `measure ${index} ${startedAt}` }],
    }),
  });
  const decoder = new TextDecoder();
  for await (const chunk of reply.body) {
    parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
  }
  return { first, perToken: (last - startedAt - first) / Math.max(1, tokens - 1) };
}

/**
 * Keeps so many streams open at once. Their starts are spread over the time of one answer, as
 * those of independent callers are; all at one instant would measure the queue they form.
 */
async function timeMany(
  url: string,
  site: Site,
  { streams, tokens, rounds }: StreamPlan,
  random: Random,
): Promise<Timing> {
  const agent = new Agent({ connections: 1024, pipelining: 1, bodyTimeout: 0 });
  const model = site.document.models[0]?.name ?? '';
  const account = site.document.accounts[0]?.name ?? '';
  const timings: Timing[] = [];
  async function loop(index: number): Promise<void> {
    await sleep(random() * tokens * STEP_MILLISECONDS);
    for (let round = 0; round < rounds; round += 1) {
      timings.push(await timeStream(agent, url, model, account, tokens, index));
      await sleep(random() * STEP_MILLISECONDS * 2);
    }
  }
  await Promise.all(Array.from({ length: streams }, (_, index) => loop(index)));
  await agent.destroy();
  return {
    first: percentilesOf(timings.map(({ first }) => first)).p50,
    perToken: percentilesOf(timings.map(({ perToken }) => perToken)).p50,
  };
}

async function lookUpRate(site: Site): Promise<Cell[]> {
  const caller = createCaller();
  const account = site.document.accounts[0]?.name ?? '';
  const entry = site.entries[0];
  const { pid } = site.process(entry?.id ?? '');
  const before = readUsage(pid);
  const end = performance.now() + LOOK_UP_MILLISECONDS;
  let answered = 0;
  async function loop(): Promise<void> {
    while (performance.now() < end) {
      const path = '/services/inspection/histories';
      const { status } = await caller.call(entry?.url ?? '', { account, path, body: { site: 1 } });
      if (status === 200) answered += 1;
    }
  }
  await Promise.all(Array.from({ length: LOOK_UP_CONCURRENCY }, loop));
  const { corePercent } = rateBetween(before, readUsage(pid));
  caller.close();
  const perSecond = (answered * 1000) / LOOK_UP_MILLISECONDS;
  return [perSecond, corePercent, (perSecond * 100) / corePercent];
}

/** Memory of the entry with many slow streams open, against none. */
async function memoryPerStream(site: Site): Promise<number> {
  const caller = createCaller();
  const account = site.document.accounts[0]?.name ?? '';
  const model = site.document.models[0]?.name ?? '';
  const entry = site.entries[0];
  const { pid } = site.process(entry?.id ?? '');
  const before = readUsage(pid).residentBytes;
  const controller = new AbortController();
  const open = Array.from({ length: OPEN_STREAMS }, (_, index) =>
    caller.draft(entry?.url ?? '', {
      account,
      model,
      messages: [{ role: 'user', content: `open ${index}` }],
      maximumTokens: 2000,
      signal: controller.signal,
    }),
  );
  await sleep(3000);
  const held = readUsage(pid).residentBytes - before;
  controller.abort();
  await Promise.all(open);
  caller.close();
  return held / OPEN_STREAMS / BYTES_PER_KIB;
}

export const overheadExperiment: Experiment = {
  name: 'overhead',
  description:
    'Streams of one engine stand-in that steps each 4 ms, through one entry and directly; starts spread over time.',
  async run({ progress, random }) {
    const site = await launchSite({
      example: 'brno',
      engine: {
        warmUpTokens: 0,
        stepMilliseconds: STEP_MILLISECONDS,
        prefillMillisecondsPerBlock: 0,
      },
      adjust: (document) => ({
        ...document,
        models: document.models.map((model) => ({
          ...model,
          coldConcurrency: 1024,
          maximumConcurrency: 1024,
        })),
        // All streams go to one engine, as all direct ones do.
        routing: { ...document.routing, affinityCharacters: 8, boundedLoadFactor: 100 },
        accounts: document.accounts.map((account) => ({
          ...account,
          maximumInFlightTokens: 10_000_000,
        })),
      }),
    });
    const rows: Cell[][] = [];
    try {
      progress('open streams');
      // First of all: later, streams would fit into memory that earlier requests had left free.
      const memory = await memoryPerStream(site);
      for (const plan of STREAM_PLANS) {
        progress(`${plan.streams} streams`);
        const through = await timeMany(site.entries[0]?.url ?? '', site, plan, random);
        const direct = await timeMany(site.engines[0]?.url ?? '', site, plan, random);
        rows.push([
          plan.streams,
          plan.tokens,
          direct.first,
          through.first,
          through.first - direct.first,
          direct.perToken,
          through.perToken,
          through.perToken - direct.perToken,
          through.perToken / direct.perToken,
        ]);
      }
      progress('look-ups');
      const lookUps = await lookUpRate(site);
      return {
        tables: [
          {
            title: 'Medians, ms',
            columns: [
              'streams',
              'tokens each',
              'first token, direct',
              'through lapisbridge',
              'added',
              'per token, direct',
              'through lapisbridge',
              'added',
              'ratio',
            ],
            rows,
          },
          {
            title: 'One entry',
            columns: [
              'look-ups/s',
              '% of a core',
              'look-ups/s a core',
              `KiB per open stream (${OPEN_STREAMS} streams, ${KIB_PER_MIB} KiB = 1 MiB)`,
            ],
            rows: [[...lookUps, memory]],
          },
        ],
        plots: [],
        notes: [],
      };
    } finally {
      await site.stop();
    }
  },
};
