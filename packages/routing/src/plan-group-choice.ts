/**
 * Orders the lock-step groups of a service for the next stream. Intended for services of several
 * groups, one of which may run longer passes than another, hold more streams, or stop. All entries
 * decide by load reports that are some tenths of a second old, so they draw a group in proportion
 * to what each can still take rather than all send to the best one. Pure.
 */

/** What an entry knows of one lock-step group. */
export interface GroupView {
  readonly group: string;
  /** Running and waiting at its servers: the last reports plus what was sent since. */
  readonly streams: number;
  /** Streams that its servers run at once. */
  readonly slots: number;
  /** Most streams with which its passes meet the objective; undefined where none is known. */
  readonly maximumStreams: number | undefined;
  /** Last known length of a pass; undefined where this entry has seen none. */
  readonly passMilliseconds: number | undefined;
  /** Time since that pass. */
  readonly passAgeMilliseconds: number;
  /** Whether it can run nothing until it forms again. */
  readonly isStopped: boolean;
  /** Whether nothing is heard of some of its servers, nor any event of its streams. */
  readonly isSilent: boolean;
}

export interface GroupChoiceInput {
  readonly groups: readonly GroupView[];
  /** Longest pause between events that is in time; 0 if the route states none. */
  readonly gapObjectiveMilliseconds: number;
  /** Estimated number of requests sent to the service since the load reports were made. */
  readonly unreportedArrivals: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

enum GroupTier {
  /** Has capacity, and its passes meet the objective. */
  InTime = 'inTime',
  /** Has capacity, but its passes miss the objective while those of another group meet it. */
  Slow = 'slow',
  Full = 'full',
  Silent = 'silent',
  Stopped = 'stopped',
}

/** The best first; within a tier, groups are drawn by weight. */
const TIERS = [
  GroupTier.InTime,
  GroupTier.Slow,
  GroupTier.Full,
  GroupTier.Silent,
  GroupTier.Stopped,
];

interface RankedGroup {
  readonly group: string;
  readonly tier: GroupTier;
  readonly weight: number;
}

interface GroupEstimate {
  readonly view: GroupView;
  readonly passMilliseconds: number;
  /** Streams that it can take until the next reports. */
  readonly capacity: number;
}

/** Keeps the weights of groups without any capacity above 0. */
const MINIMUM_WEIGHT = 1e-6;
/**
 * Distance of a pass to the objective, as a share of the objective, below which groups count alike.
 * Weights that differ by the last milliseconds would send every stream to one group, then to the
 * other.
 */
const MINIMUM_HEADROOM = 0.2;
/**
 * Half-life of a slow pass that no stream has confirmed since, so that a group that has recovered
 * gets a few streams again after some seconds.
 */
const PASS_HALF_LIFE_MILLISECONDS = 2000;

function readCount(stated: number): number {
  return Number.isFinite(stated) ? Math.max(0, stated) : 0;
}

function isKnownPass(passMilliseconds: number | undefined): passMilliseconds is number {
  return passMilliseconds !== undefined && passMilliseconds > 0 && passMilliseconds < Infinity;
}

/** The shortest recent pass of the groups; 1 where none is known. */
function findShortestPass(groups: readonly GroupView[]): number {
  let shortest = Infinity;
  for (const { passMilliseconds, isStopped, isSilent } of groups) {
    if (isStopped || isSilent || !isKnownPass(passMilliseconds)) continue;
    shortest = Math.min(shortest, passMilliseconds);
  }
  return Number.isFinite(shortest) ? shortest : 1;
}

/**
 * Length of the pass that the next stream is expected to get. One more stream lengthens it by
 * little, so it is the last one seen; without one, the group may be as fast as the fastest.
 */
function predictPass(view: GroupView, shortestPass: number): number {
  if (!isKnownPass(view.passMilliseconds)) return shortestPass;
  const weight = 0.5 ** (readCount(view.passAgeMilliseconds) / PASS_HALF_LIFE_MILLISECONDS);
  return shortestPass + Math.max(0, view.passMilliseconds - shortestPass) * weight;
}

function estimateGroups({ groups, unreportedArrivals }: GroupChoiceInput): GroupEstimate[] {
  const shortestPass = findShortestPass(groups);
  const passes = groups.map((view) => predictPass(view, shortestPass));
  const running = groups.map(({ streams, slots }) =>
    Math.min(readCount(streams), readCount(slots)),
  );
  const turnovers = running.map((streams, index) => streams / (passes[index] ?? shortestPass));
  const totalTurnover = turnovers.reduce((sum, turnover) => sum + turnover, 0);
  return groups.map((view, index) => {
    const slots = readCount(view.slots);
    const limit = Math.min(slots, readCount(view.maximumStreams ?? slots));
    // As many streams are assumed to end as arrive, in proportion to what each group runs.
    const share = totalTurnover > 0 ? (turnovers[index] ?? 0) / totalTurnover : 0;
    const ending = readCount(unreportedArrivals) * share;
    return {
      view,
      passMilliseconds: passes[index] ?? shortestPass,
      capacity: limit - readCount(view.streams) + ending,
    };
  });
}

/** Whether streams of a group whose passes miss the objective would be in time elsewhere. */
function isAnyInTime(estimates: readonly GroupEstimate[], objective: number): boolean {
  for (const { view, capacity, passMilliseconds } of estimates) {
    if (view.isStopped || view.isSilent || capacity < 1) continue;
    if (passMilliseconds <= objective * (1 - MINIMUM_HEADROOM)) return true;
  }
  return false;
}

function planTier(
  { view, capacity, passMilliseconds }: GroupEstimate,
  objective: number,
  hasInTime: boolean,
): GroupTier {
  if (view.isStopped) return GroupTier.Stopped;
  if (view.isSilent) return GroupTier.Silent;
  if (capacity < 1) return GroupTier.Full;
  return objective > 0 && hasInTime && passMilliseconds > objective
    ? GroupTier.Slow
    : GroupTier.InTime;
}

function planWeight(
  { view, capacity, passMilliseconds }: GroupEstimate,
  objective: number,
): number {
  const headroom = objective > 0 ? Math.max(MINIMUM_HEADROOM, 1 - passMilliseconds / objective) : 1;
  // A group whose capacity is used up gets what it completes.
  const streams =
    capacity < 1 ? Math.min(readCount(view.streams), readCount(view.slots)) : capacity;
  return Math.max(MINIMUM_WEIGHT, (streams * headroom) / passMilliseconds);
}

function drawByWeight(
  ranked: readonly RankedGroup[],
  random: () => number,
): RankedGroup | undefined {
  let totalWeight = 0;
  for (const { weight } of ranked) totalWeight += weight;
  let drawn = random() * totalWeight;
  for (const candidate of ranked) {
    drawn -= candidate.weight;
    if (drawn < 0) return candidate;
  }
  return ranked.at(-1);
}

function selectBestTier(ranked: readonly RankedGroup[]): RankedGroup[] {
  for (const tier of TIERS) {
    const candidates = ranked.filter((candidate) => candidate.tier === tier);
    if (candidates.length > 0) return candidates;
  }
  return [];
}

/** Names of the groups, the one that the stream is sent to first. */
export function planGroupOrder(input: GroupChoiceInput): string[] {
  const { gapObjectiveMilliseconds: objective } = input;
  const estimates = estimateGroups(input);
  const hasInTime = isAnyInTime(estimates, objective);
  let remaining: readonly RankedGroup[] = estimates.map((estimate) => ({
    group: estimate.view.group,
    tier: planTier(estimate, objective, hasInTime),
    weight: planWeight(estimate, objective),
  }));
  const order: string[] = [];
  while (remaining.length > 0) {
    const candidates = selectBestTier(remaining);
    const drawn = drawByWeight(candidates, input.random);
    if (drawn === undefined) break;
    order.push(drawn.group);
    remaining = remaining.filter((other) => other !== drawn);
  }
  return order;
}
