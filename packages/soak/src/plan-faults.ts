/**
 * Draws what goes wrong in one run: faults of all kinds in series and overlapping, from a seed.
 * Pure, so that a seed that failed once fails the same way again, as far as processes repeat.
 */
import { createRandom } from '@lapisbridge/kernel';
import type { Random } from '@lapisbridge/kernel';

export enum FaultKind {
  KillEntry = 'killEntry',
  TerminateEntry = 'terminateEntry',
  PauseEntry = 'pauseEntry',
  HangUpEntry = 'hangUpEntry',
  KillSidecar = 'killSidecar',
  PauseSidecar = 'pauseSidecar',
  StoreDown = 'storeDown',
  StoreSilent = 'storeSilent',
  StoreSlow = 'storeSlow',
  StoreLosesAnswers = 'storeLosesAnswers',
  StoreForgetful = 'storeForgetful',
  CrashRank = 'crashRank',
  BadAnswers = 'badAnswers',
  LateOrders = 'lateOrders',
  LinkDelayed = 'linkDelayed',
  LinkReset = 'linkReset',
  LinkSilent = 'linkSilent',
  LinkOneWay = 'linkOneWay',
  ChangeConfiguration = 'changeConfiguration',
  DrainServer = 'drainServer',
  /** A backend server states a rate limit. */
  LimitRate = 'limitRate',
  /** A backend server says in its answers that it leaves, and then starts anew. */
  AnnounceLeaving = 'announceLeaving',
  /** A backend server turns every request away and asks for time without requests. */
  ShedLoad = 'shedLoad',
  /** The machine of a rank stands still: its backend server and the sidecar beside it. */
  StopMachine = 'stopMachine',
  /** The process of a backend server ends, and another one starts at its address. */
  EndServer = 'endServer',
  /** Requests come with a prompt part that crashes each server that begins to answer them. */
  CrashingPart = 'crashingPart',
  /** A caller repeats one request that crashes each server which runs it. */
  CrashingRequest = 'crashingRequest',
  /** Answers of a backend server end with their connections, without a length or chunks. */
  CloseDelimited = 'closeDelimited',
  /** A backend server sends bytes without end instead of answers. */
  EndlessBytes = 'endlessBytes',
  /** A balancer hands most new connections to one entry, and callers open them more often. */
  HandOver = 'handOver',
  /** Every entry is killed, again and again. */
  KillEntries = 'killEntries',
}

export interface Fault {
  readonly kind: FaultKind;
  /** Milliseconds from the start of the load. */
  readonly at: number;
  readonly lasts: number;
  /** Which of the instances that it may strike; taken modulo their number. */
  readonly target: number;
  /** Share of the answers that are struck, for kinds that strike some of them; 0.4 when omitted. */
  readonly share?: number;
}

const SHORTEST_MILLISECONDS = 300;
const LONGEST_MILLISECONDS = 3500;
/** Rate limits stand for longer than other faults: their bound holds after some seconds only. */
const RATE_LIMIT_LENGTH = 4;
/** Mean time between two faults: several overlap most of the time. */
const GAP_MILLISECONDS = 700;

interface ApartFaults {
  readonly kind: FaultKind;
  readonly gapMilliseconds: number;
  readonly seed: number;
  /** How much longer they last than other faults. */
  readonly lengthFactor: number;
}

/** Drawn apart from the others, so that seeds keep the faults that they had without them. */
const APART: readonly ApartFaults[] = [
  {
    kind: FaultKind.LimitRate,
    gapMilliseconds: 5000,
    seed: 0x5eed,
    lengthFactor: RATE_LIMIT_LENGTH,
  },
  { kind: FaultKind.ShedLoad, gapMilliseconds: 6000, seed: 0xb0ff, lengthFactor: 2 },
  { kind: FaultKind.AnnounceLeaving, gapMilliseconds: 7000, seed: 0x1eaf, lengthFactor: 2 },
  { kind: FaultKind.StopMachine, gapMilliseconds: 7000, seed: 0x5709, lengthFactor: 1.5 },
  { kind: FaultKind.EndServer, gapMilliseconds: 5000, seed: 0xe4d, lengthFactor: 1 },
  { kind: FaultKind.CrashingPart, gapMilliseconds: 9000, seed: 0xbad, lengthFactor: 3 },
  { kind: FaultKind.HandOver, gapMilliseconds: 9000, seed: 0x0ff, lengthFactor: 2 },
  { kind: FaultKind.CloseDelimited, gapMilliseconds: 4000, seed: 0xc105e, lengthFactor: 2 },
  { kind: FaultKind.EndlessBytes, gapMilliseconds: 6000, seed: 0xe0f, lengthFactor: 1.5 },
  { kind: FaultKind.CrashingRequest, gapMilliseconds: 8000, seed: 0xa6a1, lengthFactor: 2 },
  { kind: FaultKind.KillEntries, gapMilliseconds: 12_000, seed: 0xdead, lengthFactor: 2 },
];

/** How the faults of the kinds drawn apart follow from the seed. */
export enum DrawScheme {
  Current = 'current',
  /**
   * First numbers of small seeds are nearly 1, so that rare kinds hardly come in short runs. Seeds
   * that were kept under it keep their faults.
   */
  Former = 'former',
}

/** Numbers after which generators of neighbouring small seeds differ. */
const SKIPPED_NUMBERS = 8;

function createDraws(seed: number, scheme: DrawScheme): Random {
  const random = createRandom(seed);
  if (scheme === DrawScheme.Current) {
    for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) random();
  }
  return random;
}

function drawFaults(
  random: Random,
  milliseconds: number,
  gap: number,
  kinds: readonly FaultKind[],
): Fault[] {
  const faults: Fault[] = [];
  let at = 0;
  for (;;) {
    at += gap * 2 * random();
    if (at >= milliseconds) return faults;
    const kind = kinds[Math.floor(random() * kinds.length)];
    const lasts = SHORTEST_MILLISECONDS + random() * (LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS);
    faults.push({
      kind,
      at: Math.round(at),
      lasts: Math.round(lasts),
      target: Math.floor(random() * 60),
    });
  }
}

export function planFaults(
  seed: number,
  milliseconds: number,
  scheme = DrawScheme.Current,
): Fault[] {
  const apartKinds = APART.map(({ kind }) => kind);
  const kinds = Object.values(FaultKind).filter((kind) => !apartKinds.includes(kind));
  const faults = drawFaults(createRandom(seed), milliseconds, GAP_MILLISECONDS, kinds);
  for (const apart of APART) {
    const { kind, gapMilliseconds, lengthFactor } = apart;
    const random = createDraws(seed + apart.seed, scheme);
    for (const fault of drawFaults(random, milliseconds, gapMilliseconds, [kind])) {
      faults.push({ ...fault, lasts: fault.lasts * lengthFactor });
    }
  }
  return faults.sort((left, right) => left.at - right.at);
}
