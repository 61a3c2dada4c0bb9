/**
 * An attempt at an idempotent call that is sent to a second server when the first is late.
 * The extra call takes from the retry budget, so hedging cannot add to an overload.
 */
import { MessageKind } from '@lapisbridge/wire';

import { CallOutcomeKind } from './call-attempt.js';
import type { CallOutcome } from './call-attempt.js';

export interface HedgeOptions {
  /** Runs one attempt; both have the same shape and different numbers. */
  run(instanceId: string, attempt: number): Promise<CallOutcome>;
  /** A server for the second attempt, with the budget for it; undefined for none. */
  second(): { readonly instanceId: string; readonly attempt: number } | undefined;
  cancel(instanceId: string, message: { kind: MessageKind.Cancel; attempt: number }): void;
  /** Undefined turns hedging off. */
  readonly hedgeAfterMilliseconds: number | undefined;
}

export interface HedgedOutcome {
  readonly instanceId: string;
  readonly outcome: CallOutcome;
}

interface Running extends HedgedOutcome {
  readonly attempt: number;
}

function waitFor<T>(work: Promise<T>, milliseconds: number): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), milliseconds);
    work.then(
      (value) => {
        clearTimeout(timer);
        resolve(value);
      },
      (error: unknown) => {
        clearTimeout(timer);
        reject(error);
      },
    );
  });
}

export async function runHedged(
  options: HedgeOptions,
  instanceId: string,
  attempt: number,
): Promise<HedgedOutcome> {
  const start = async (name: string, number: number): Promise<Running> => ({
    instanceId: name,
    attempt: number,
    outcome: await options.run(name, number),
  });
  const first = start(instanceId, attempt);
  if (options.hedgeAfterMilliseconds === undefined) return first;
  const early = await waitFor(first, options.hedgeAfterMilliseconds);
  if (early !== undefined) return early;
  const chosen = options.second();
  if (chosen === undefined) return first;
  const second = start(chosen.instanceId, chosen.attempt);
  const winner = await Promise.race([first, second]);
  const loser = winner.instanceId === instanceId ? second : first;
  if (winner.outcome.kind !== CallOutcomeKind.Answered) return loser;
  const lost = winner.instanceId === instanceId ? chosen : { instanceId, attempt };
  options.cancel(lost.instanceId, { kind: MessageKind.Cancel, attempt: lost.attempt });
  return winner;
}
