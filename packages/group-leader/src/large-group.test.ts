import { createRandom } from '@lapisbridge/kernel';
import { initialMap } from '@lapisbridge/placement';
import type { RankReport } from '@lapisbridge/placement';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  createCountDeltaTracker,
  quantizeCountDelta,
  dequantizeCountDelta,
} from './count-delta.js';
import { packMapDelta, packMap, unpackMapDelta, unpackMap } from './pack-map.js';
import { planReportingIntervals } from './plan-pace.js';
import { createReportRequests } from './report-requests.js';
import type { ReportRequests } from './report-requests.js';

const RANKS = 63;
const EXPERTS = 252;
const SETS = 8;
/** Bandwidth of the smallest deployed sidecar's link, in bytes per second. */
const LINK_BYTES_PER_SECOND = 5_600_000 / 8;
/** Size of the report and the sender's name that accompany the counts. */
const ENVELOPE_BYTES = 700;

describe('a group of 63 ranks', () => {
  it('reports its counts within two thirds of the leader’s bandwidth', () => {
    // Guards against 62 ranks whose counts saturate the leader's link: reports arrive seconds late
    // or get lost, no map is ever changed, and every stream is late once demand shifts.
    const counts = Array.from({ length: SETS * EXPERTS }, (_, index) => (index % 97) * 1000);
    const packed = quantizeCountDelta({ epoch: 1, counts }, () => 0.5);
    const bytesPerReport = JSON.stringify(packed).length + ENVELOPE_BYTES;
    const bytesPerSecond =
      ((RANKS - 1) * bytesPerReport * 1000) / planReportingIntervals(RANKS).countsMilliseconds;
    expect(bytesPerSecond).toBeLessThan(LINK_BYTES_PER_SECOND / 1.5);
  });

  it('receives a map within half a second of the leader’s bandwidth', () => {
    const map = { sets: Array.from({ length: SETS }, () => initialMap(EXPERTS, RANKS)) };
    const bytes = JSON.stringify(packMap(map)).length * (RANKS - 1);
    expect(bytes).toBeLessThan(LINK_BYTES_PER_SECOND / 2);
    expect(unpackMap(packMap(map))).toEqual(map);
  });
});

describe('quantized counts', () => {
  it('sum up to nearly the exact counts', () => {
    // Guards against biased rounding: if every rank rounded down, the many rarely selected experts
    // would be invisible, and a plan would put them all on one rank.
    const random = createRandom(7);
    const weights = Array.from({ length: SETS * EXPERTS }, () => random() ** 3);
    const exact = weights.map(() => 0);
    const reported = weights.map(() => 0);
    for (let round = 0; round < RANKS * 3; round += 1) {
      const counts = weights.map((weight) => Math.round(weight * 2000 * random()));
      const decoded = dequantizeCountDelta(quantizeCountDelta({ epoch: 1, counts }, random)).counts;
      for (const [index, count] of counts.entries()) {
        exact[index] = (exact[index] ?? 0) + count;
        reported[index] = (reported[index] ?? 0) + (decoded[index] ?? 0);
      }
    }
    const mean = exact.reduce((sum, count) => sum + count, 0) / exact.length;
    for (const [index, count] of exact.entries()) {
      expect(Math.abs((reported[index] ?? 0) - count)).toBeLessThan(mean * 0.1);
    }
  });
});

it('rejects packed maps that are truncated or for another number of ranks', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.integer({ min: 1, max: 400 }),
      (ranks, experts) => {
        const map = { sets: [initialMap(experts, ranks)] };
        const packed = packMap(map);
        expect(unpackMap(packed)).toEqual(map);
        const bytes = Buffer.from(packed.sets[0] ?? '', 'base64');
        const cut = bytes.subarray(0, bytes.length - packed.width).toString('base64');
        expect(unpackMap({ ...packed, sets: [cut] })).toBeUndefined();
        expect(unpackMap({ ...packed, ranks: ranks + 1 })).toBeUndefined();
      },
    ),
    { seed: 3, numRuns: 100 },
  );
});

describe('map delta', () => {
  const base = { sets: Array.from({ length: SETS }, () => initialMap(EXPERTS, RANKS)) };
  const changed = {
    sets: base.sets.map(({ experts }) => ({
      experts: experts.map((held, rank) => (rank % 4 === 0 ? [...held, (rank * 7) % 252] : held)),
    })),
  };

  it('restores the map, and takes less than half of the bytes', () => {
    const packed = packMapDelta(base, 0, changed);
    expect(unpackMapDelta(base, packed)).toEqual(changed);
    expect(JSON.stringify(packed).length).toBeLessThan(JSON.stringify(packMap(changed)).length / 2);
  });

  it('is rejected when the rank has another map under the base version', () => {
    // A new leader reconstructs the active map and fills in the parts it cannot read. A rank that
    // applied the delta to its own, different copy would hold other experts than the rest expects,
    // and a pass would start with two maps.
    const [first, ...others] = base.sets;
    const swapped = [...(first?.experts ?? [])].reverse();
    const other = { sets: [{ experts: swapped }, ...others] };
    expect(unpackMapDelta(other, packMapDelta(base, 0, changed))).toBeUndefined();
    expect(unpackMapDelta({ sets: others }, packMapDelta(base, 0, changed))).toBeUndefined();
  });
});

describe('report request', () => {
  const report = { rank: 1 } as RankReport;

  function createRequests(send: (host: string, question: number) => boolean): ReportRequests {
    return createReportRequests({ ownHost: 'own', ownReport: async () => report, send });
  }

  it('to the own rank is answered without a datagram', async () => {
    // Guards against leaders that wait in vain for their own answer in every iteration.
    const requests = createRequests(() => {
      throw new Error('a datagram was sent');
    });
    expect(await requests.requestReport('own')).toBe(report);
  });

  it('resolves only with the answer that carries its identifier', async () => {
    const asked: number[] = [];
    const requests = createRequests((_, question) => asked.push(question) > 0);
    const [first, second] = [requests.requestReport('one'), requests.requestReport('two')];
    requests.onAnswer(asked[1] ?? 0, report);
    expect(await second).toBe(report);
    // The first request is never answered and ends by its timeout.
    expect(await first).toBeUndefined();
  });

  it('resolves at once when no sidecar is known at the host', async () => {
    expect(await createRequests(() => false).requestReport('nobody')).toBeUndefined();
  });
});

describe('counts of a group that forms again', () => {
  it('continue for ranks that kept running, and start over for a restarted rank', () => {
    // A rank was disconnected for five seconds while the others kept counting. Waiting for two
    // reports of the new epoch would keep the group on its initial map for another third of a
    // second.
    const deltaTracker = createCountDeltaTracker();
    deltaTracker.update({ epoch: 1, counts: [10, 10] });
    expect(deltaTracker.update({ epoch: 2, counts: [15, 30] })).toEqual({
      epoch: 2,
      counts: [5, 20],
    });
    expect(deltaTracker.update({ epoch: 2, counts: [40, 2] })).toBeUndefined();
  });
});
