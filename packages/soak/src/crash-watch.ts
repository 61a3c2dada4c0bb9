/**
 * Counts what prompt parts that crash backend servers cost: requests with such a part that still
 * reach servers once entries should know it, and sound requests that are not served meanwhile.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface CrashWatch {
  /** Requests with the part begin to come. */
  onBegin(part: string, kind: string): void;
  /** They come no more. */
  onFinish(part: string): void;
  /** A server ended as it began to answer a request with the part. */
  onCrash(part: string): void;
  onArrival(server: string, entry: string, sharedParts: readonly string[]): void;
  /** A first attempt at a sound request ended; `sentAt` is when its caller sent it. */
  onSoundEnd(entry: string, kind: string, sentAt: number, isServed: boolean): void;
  /** Another fault is in force; what is served around it says nothing about the part. */
  onOtherFault(): void;
  onOtherFaultLifted(): void;
  /** An entry was killed, stopped or paused, and may not know what it was told. */
  excuse(entry: string): void;
  /** Whether servers have ever crashed on the part. */
  isCrashing(part: string): boolean;
  /** Records the shares of sound requests; called once, at the end. */
  conclude(): void;
}

const CONTACT_MILLISECONDS = 3000;
const KNOWN_AFTER_CRASHES = 5;

interface Share {
  sent: number;
  served: number;
}

interface CrashingPart {
  readonly kind: string;
  readonly begunAt: number;
  readonly crashes: number[];
  finishedAt: number;
  readonly during: Share;
}

export function createCrashWatch(history: History, now: () => number): CrashWatch {
  const parts = new Map<string, CrashingPart>();
  const excusedAt = new Map<string, number>();
  const before = new Map<string, Share>();
  let otherFaults = 0;
  let otherFaultAt = -Infinity;

  function isInTouch(entry: string, at: number): boolean {
    return at - (excusedAt.get(entry) ?? -Infinity) >= CONTACT_MILLISECONDS;
  }

  /** The fifth crash, or the last if there are fewer. */
  function knownSince({ crashes }: CrashingPart): number {
    return crashes[KNOWN_AFTER_CRASHES - 1] ?? crashes.at(-1) ?? Infinity;
  }

  function shareBefore(kind: string): Share {
    const share = before.get(kind) ?? { sent: 0, served: 0 };
    before.set(kind, share);
    return share;
  }

  function count(share: Share, isServed: boolean): void {
    share.sent += 1;
    if (isServed) share.served += 1;
  }

  return {
    onBegin(part, kind) {
      parts.set(part, {
        kind,
        begunAt: now(),
        crashes: [],
        finishedAt: Infinity,
        during: { sent: 0, served: 0 },
      });
    },
    onFinish(part) {
      const crashing = parts.get(part);
      if (crashing !== undefined) crashing.finishedAt = now();
    },
    onCrash(part) {
      parts.get(part)?.crashes.push(now());
    },
    onArrival(server, entry, sharedParts) {
      for (const part of sharedParts) {
        const fifthAt = parts.get(part)?.crashes[KNOWN_AFTER_CRASHES - 1];
        if (fifthAt === undefined || now() <= fifthAt + CONTACT_MILLISECONDS) continue;
        if (!isInTouch(entry, now())) continue;
        history.record({ kind: EventKind.CrashingArrival, instanceId: server, part });
      }
    },
    onSoundEnd(entry, kind, sentAt, isServed) {
      if (otherFaults > 0 || sentAt - otherFaultAt < CONTACT_MILLISECONDS) return;
      if (!isInTouch(entry, sentAt)) return;
      let isBefore = true;
      for (const crashing of parts.values()) {
        if (crashing.kind !== kind) continue;
        if (sentAt >= crashing.begunAt) isBefore = false;
        const from = knownSince(crashing) + 2 * CONTACT_MILLISECONDS;
        if (sentAt >= from && sentAt <= crashing.finishedAt) count(crashing.during, isServed);
      }
      if (isBefore) count(shareBefore(kind), isServed);
    },
    onOtherFault() {
      otherFaults += 1;
    },
    onOtherFaultLifted() {
      otherFaults -= 1;
      otherFaultAt = now();
    },
    excuse: (entry) => void excusedAt.set(entry, now()),
    isCrashing: (part) => parts.has(part),
    conclude() {
      for (const [part, { kind, during }] of parts) {
        history.record({
          kind: EventKind.SoundShare,
          part,
          servedBefore: shareBefore(kind).served,
          sentBefore: shareBefore(kind).sent,
          servedDuring: during.served,
          sentDuring: during.sent,
        });
      }
    },
  };
}
