/**
 * What attempts of every kind share: listening to one sidecar until a message, the loss of the
 * connection, the time or the caller's leaving ends the attempt, whichever comes first.
 */
import type { AttemptId, Message } from '@lapisbridge/wire';

import type { BackendPool } from './backend-pool.js';

export interface AttemptInput {
  readonly pool: BackendPool;
  readonly instanceId: string;
  readonly timeoutMilliseconds: number;
  readonly callerGone: AbortSignal;
}

export interface AttemptWatch<Outcome> extends AttemptInput {
  /** Sent at the start; its name is what the sidecar's messages are recognised by. */
  readonly message: Message & AttemptId;
  readonly whenLost: Outcome;
  readonly whenTimedOut: Outcome;
  readonly whenCallerGone: Outcome;
  /** Takes a message of the attempt; `end` may be called more than once, the first call counts. */
  onMessage(message: Message, end: (outcome: Outcome) => void): void;
}

export function runAttempt<Outcome>(watch: AttemptWatch<Outcome>): Promise<Outcome> {
  const { pool, instanceId, message, callerGone } = watch;
  const { requestId, attempt } = message;
  const name: AttemptId = { requestId, attempt };
  return new Promise((resolve) => {
    let ended = false;

    function end(outcome: Outcome): void {
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      callerGone.removeEventListener('abort', onGone);
      pool.unlisten(instanceId, name);
      resolve(outcome);
    }

    const onGone = (): void => end(watch.whenCallerGone);
    const onLost = (): void => end(watch.whenLost);
    const onMessage = (received: Message): void => {
      if (!ended) watch.onMessage(received, end);
    };
    const timer = setTimeout(() => end(watch.whenTimedOut), watch.timeoutMilliseconds);
    callerGone.addEventListener('abort', onGone);
    const listening = pool.listen(instanceId, name, { onMessage, onLost });
    if (callerGone.aborted) onGone();
    else if (!listening || !pool.send(instanceId, message)) onLost();
  });
}
