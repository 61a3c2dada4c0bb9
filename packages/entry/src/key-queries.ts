/**
 * Asks sidecars what they remember of an at-most-once key.
 */
import { MessageKind } from '@lapisbridge/wire';
import type { KeyAnswer, KeyQuery } from '@lapisbridge/wire';

/** Longer than an answer takes, and short, since a caller waits for it. */
const ANSWER_MILLISECONDS = 500;

export interface KeyQueries {
  /** One element for each sidecar that was asked; undefined where no answer came. */
  ask(
    instanceIds: readonly string[],
    account: string,
    idempotencyKey: string,
  ): Promise<readonly (KeyAnswer | undefined)[]>;
  answered(answer: KeyAnswer): void;
}

export function createKeyQueries(send: (instanceId: string, query: KeyQuery) => void): KeyQueries {
  const waiting = new Map<number, (answer: KeyAnswer | undefined) => void>();
  let lastId = 0;

  function askOne(
    instanceId: string,
    account: string,
    idempotencyKey: string,
  ): Promise<KeyAnswer | undefined> {
    lastId += 1;
    const queryId = lastId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        waiting.delete(queryId);
        resolve(undefined);
      }, ANSWER_MILLISECONDS);
      waiting.set(queryId, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      send(instanceId, { kind: MessageKind.KeyQuery, queryId, account, idempotencyKey });
    });
  }

  return {
    ask: (instanceIds, account, idempotencyKey) =>
      Promise.all(instanceIds.map((instanceId) => askOne(instanceId, account, idempotencyKey))),
    answered(answer) {
      waiting.get(answer.queryId)?.(answer);
      waiting.delete(answer.queryId);
    },
  };
}
