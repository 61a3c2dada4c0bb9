/**
 * Stand-in of a group of ranks that run in lock-step on an expert map. Each rank takes orders
 * on a port of its own. A step is made by all ranks together, and only while none is paused
 * or without a map; it records the map version that each rank used.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { listen, readJson, reply } from './http-server.js';

export interface RankGroupOptions {
  readonly host: string;
  readonly ports: readonly number[];
  readonly controlPort: number;
  readonly experts: number;
  readonly stepMilliseconds: number;
  /** Time the weight store needs for one expert. */
  readonly loadMillisecondsPerExpert: number;
}

interface Rank {
  bootId: string;
  activeVersion: number;
  map: readonly number[];
  preparedVersion: number;
  preparedMap: readonly number[];
  paused: boolean;
  speed: number;
  tokens: number[];
}

interface RankOrderBody {
  readonly mapVersion: number;
  readonly map: { readonly experts: readonly (readonly number[])[] };
}

/** One step in which the ranks' versions are told only when they differ or change. */
interface StepRecord {
  readonly step: number;
  readonly versions: readonly number[];
}

const KEPT_RECORDS = 10_000;
const TOKENS_PER_STEP = 1000;
/** Popularity of expert n falls with its rank in the order, which drifts. */
const DRIFT_STEPS = 400;

export async function startRankGroup(options: RankGroupOptions): Promise<void> {
  const size = options.ports.length;
  const ranks: Rank[] = options.ports.map(() => emptyRank());
  const records: StepRecord[] = [];
  let step = 0;
  let stalledSteps = 0;
  let moved = 0;

  function emptyRank(): Rank {
    return {
      bootId: randomUUID(),
      activeVersion: 0,
      map: [],
      preparedVersion: 0,
      preparedMap: [],
      paused: false,
      speed: 1,
      tokens: new Array<number>(options.experts).fill(0),
    };
  }

  function popularity(expert: number): number {
    const shifted = (expert + Math.floor(step / DRIFT_STEPS)) % options.experts;
    return TOKENS_PER_STEP / (shifted + 4);
  }

  function makeStep(): void {
    step += 1;
    const holders = new Array<number>(options.experts).fill(0);
    for (const { map } of ranks)
      for (const expert of map) holders[expert] = (holders[expert] ?? 0) + 1;
    for (const rank of ranks) {
      for (const expert of rank.map) {
        const share = popularity(expert) / (holders[expert] ?? 1);
        rank.tokens[expert] = (rank.tokens[expert] ?? 0) + share;
      }
    }
    const versions = ranks.map(({ activeVersion }) => activeVersion);
    const last = records.at(-1);
    if (last === undefined || last.versions.some((version, rank) => version !== versions[rank])) {
      records.push({ step, versions });
      if (records.length > KEPT_RECORDS) records.shift();
    }
  }

  setInterval(() => {
    const ready = ranks.every(({ paused, activeVersion }) => !paused && activeVersion > 0);
    if (ready) makeStep();
    else stalledSteps += 1;
  }, options.stepMilliseconds);

  async function prepare(rank: Rank, index: number, body: RankOrderBody): Promise<void> {
    const experts = body.map.experts[index] ?? [];
    const missing = experts.filter((expert) => !rank.map.includes(expert)).length;
    moved += missing;
    await new Promise((resolve) => {
      setTimeout(resolve, missing * options.loadMillisecondsPerExpert);
    });
    rank.preparedVersion = body.mapVersion;
    rank.preparedMap = experts;
  }

  async function handleOrder(
    index: number,
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const rank = ranks[index];
    const body = (await readJson(request)) as RankOrderBody;
    switch (name) {
      case 'prepare':
        await prepare(rank, index, body);
        break;
      case 'pause':
        rank.paused = true;
        break;
      case 'switch':
        if (rank.preparedVersion !== body.mapVersion) {
          reply(response, 409, { error: 'not prepared' });
          return;
        }
        rank.activeVersion = body.mapVersion;
        rank.map = rank.preparedMap;
        break;
      case 'resume':
        rank.paused = false;
        break;
      default:
        reply(response, 404, { error: 'unknown order' });
        return;
    }
    reply(response, 200, {});
  }

  async function handleRank(
    index: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const rank = ranks[index];
    switch (request.url) {
      case '/load':
        reply(response, 200, { bootId: rank.bootId, warm: rank.activeVersion > 0 });
        break;
      case '/rank/status': {
        const { bootId, activeVersion, paused } = rank;
        reply(response, 200, { bootId, activeVersion, paused });
        break;
      }
      case '/rank/statistics':
        reply(response, 200, { tokens: rank.tokens, speed: rank.speed });
        rank.tokens = new Array<number>(options.experts).fill(0);
        break;
      default:
        await handleOrder(index, (request.url ?? '').replace('/rank/', ''), request, response);
    }
  }

  for (let index = 0; index < size; index += 1) {
    await listen(options.host, options.ports[index] ?? 0, (request, response) =>
      handleRank(index, request, response),
    );
  }
  await listen(options.host, options.controlPort, async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://group');
    if (url.pathname === '/restart') {
      ranks[Number(url.searchParams.get('rank'))] = emptyRank();
    } else if (url.pathname === '/slow') {
      const rank = ranks[Number(url.searchParams.get('rank'))];
      if (rank !== undefined) rank.speed = Number(url.searchParams.get('speed'));
    }
    const versions = ranks.map(({ activeVersion }) => activeVersion);
    reply(response, 200, { step, stalledSteps, moved, versions, records });
  });
}
