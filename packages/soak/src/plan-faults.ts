/**
 * Draws what goes wrong in one run: faults of all kinds in series and overlapping, from a seed.
 * Pure, so that a seed that failed once fails the same way again, as far as processes repeat.
 */
import { createRandom } from '@lapisbridge/kernel';

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
}

export interface Fault {
  readonly kind: FaultKind;
  /** Milliseconds from the start of the load. */
  readonly at: number;
  readonly lasts: number;
  /** Which of the instances that it may strike; taken modulo their number. */
  readonly target: number;
}

const SHORTEST_MILLISECONDS = 300;
const LONGEST_MILLISECONDS = 3500;
/** Mean time between two faults: several overlap most of the time. */
const GAP_MILLISECONDS = 700;

export function planFaults(seed: number, milliseconds: number): Fault[] {
  const random = createRandom(seed);
  const kinds = Object.values(FaultKind);
  const faults: Fault[] = [];
  let at = 0;
  for (;;) {
    at += GAP_MILLISECONDS * 2 * random();
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
