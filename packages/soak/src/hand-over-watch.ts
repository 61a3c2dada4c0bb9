/**
 * Compares how often first attempts are served while a balancer hands most connections to one entry
 * with how often they were before.
 */
import { EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';

export interface HandOverWatch {
  /** Most new connections go to one entry from now on, or no longer. */
  onBegin(): void;
  onFinish(): void;
  /** A first attempt ended whose connection was taken; `sentAt` is when its caller sent it. */
  onEnd(entry: string, kind: string, sentAt: number, isServed: boolean): void;
  /** Another fault is in force; what is served around it says nothing about the hand-over. */
  onOtherFault(): void;
  onOtherFaultLifted(): void;
  /** An entry was killed, stopped or paused. */
  excuse(entry: string): void;
  /** Records the shares; called once, at the end. */
  conclude(): void;
}

const CONTACT_MILLISECONDS = 3000;

interface Share {
  sent: number;
  served: number;
}

export function createHandOverWatch(history: History, now: () => number): HandOverWatch {
  const excusedAt = new Map<string, number>();
  const sharesByKind = new Map<string, { readonly before: Share; readonly during: Share }>();
  let begunAt = Infinity;
  let hasBegun = false;
  let otherFaults = 0;
  let otherFaultAt = -Infinity;

  function sharesOf(kind: string): { readonly before: Share; readonly during: Share } {
    const known = sharesByKind.get(kind);
    const shares = known ?? { before: { sent: 0, served: 0 }, during: { sent: 0, served: 0 } };
    if (known === undefined) sharesByKind.set(kind, shares);
    return shares;
  }

  function count(share: Share, isServed: boolean): void {
    share.sent += 1;
    if (isServed) share.served += 1;
  }

  return {
    onBegin() {
      begunAt = now();
      hasBegun = true;
    },
    onFinish() {
      begunAt = Infinity;
    },
    onEnd(entry, kind, sentAt, isServed) {
      if (otherFaults > 0 || sentAt - otherFaultAt < CONTACT_MILLISECONDS) return;
      if (sentAt - (excusedAt.get(entry) ?? -Infinity) < CONTACT_MILLISECONDS) return;
      const { before, during } = sharesOf(kind);
      if (!hasBegun) count(before, isServed);
      else if (sentAt - begunAt >= CONTACT_MILLISECONDS) count(during, isServed);
    },
    onOtherFault() {
      otherFaults += 1;
    },
    onOtherFaultLifted() {
      otherFaults -= 1;
      otherFaultAt = now();
    },
    excuse: (entry) => void excusedAt.set(entry, now()),
    conclude() {
      for (const { before, during } of sharesByKind.values()) {
        history.record({
          kind: EventKind.HandedOverShare,
          servedBefore: before.served,
          sentBefore: before.sent,
          servedDuring: during.served,
          sentDuring: during.sent,
        });
      }
    },
  };
}
