/**
 * Orders to the engine of one rank, and what it tells of itself. The sidecar checks fencing
 * numbers before it passes an order on, since some engines ignore them.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { ExpertMap, RankStep } from '@lapisbridge/placement';
import { Agent, request } from 'undici';

export interface RankStatus {
  readonly bootId: string;
  readonly activeVersion: number;
  readonly paused: boolean;
}

/** What one rank saw since it was last asked. */
export interface RankStatistics {
  /** Tokens per expert that this rank worked on. */
  readonly tokens: readonly number[];
  /** Relative speed, 1 for a healthy rank. */
  readonly speed: number;
}

export interface RankEngine {
  status(): Promise<RankStatus>;
  statistics(): Promise<RankStatistics>;
  order(step: RankStep, mapVersion: number, map: ExpertMap, fencingNumber: number): Promise<void>;
  close(): void;
}

const STATUS_MILLISECONDS = 1000;
/** Preparing loads weights through the rate-limited weight store. */
const ORDER_MILLISECONDS = 30_000;

export function createRankEngine(url: string): RankEngine {
  const agent = new Agent({ connections: 2, pipelining: 1 });

  async function get<T>(path: string): Promise<T> {
    const reply = await request(`${url}${path}`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(STATUS_MILLISECONDS),
    });
    return (await reply.body.json()) as T;
  }

  return {
    status: () => get<RankStatus>('/rank/status'),
    statistics: () => get<RankStatistics>('/rank/statistics'),
    async order(step, mapVersion, map, fencingNumber) {
      const reply = await request(`${url}/rank/${step}`, {
        method: 'POST',
        dispatcher: agent,
        signal: AbortSignal.timeout(ORDER_MILLISECONDS),
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ mapVersion, map, fencingNumber }),
      });
      await reply.body.dump();
      if (reply.statusCode === 200) return;
      throw new LapisError(ResultCode.PrepareFailed, `the engine answered ${reply.statusCode}`);
    },
    close() {
      void agent.destroy();
    },
  };
}
