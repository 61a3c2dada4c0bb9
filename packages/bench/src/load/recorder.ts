/**
 * Callers that record what they see into a history. A recording caller behaves as a real one
 * would: it resumes broken drafts at another entry and repeats calls with the same key.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { createHistory, EventKind } from '@lapisbridge/history';
import type { History } from '@lapisbridge/history';
import { expectedAnswer } from '@lapisbridge/stand-ins';
import type { Effect } from '@lapisbridge/stand-ins';
import { OperationKind } from '@lapisbridge/types';
import type { Ran } from '@lapisbridge/types';

import { createCaller } from '../site/caller.js';
import type { Caller, CallReply, DraftReply } from '../site/caller.js';
import { getJson } from '../site/http-json.js';
import type { Site } from '../site/site.js';

export interface RecordedDraft {
  readonly request: string;
  readonly account: string;
  readonly text: string;
  readonly expected: string;
  readonly complete: boolean;
  readonly code: number | undefined;
  readonly retryAfterSeconds: number | undefined;
  readonly firstTextMilliseconds: number | undefined;
  readonly startedAt: number;
  readonly milliseconds: number;
  readonly resumed: number;
}

export interface RecordedCall {
  readonly callKey: string;
  readonly replies: readonly CallReply[];
}

export interface DraftPlan {
  readonly entry: number;
  readonly account?: string;
  readonly maximumTokens?: number;
  readonly prompt?: string;
  readonly timeoutMilliseconds?: number;
}

export interface Recorder {
  readonly history: History;
  readonly caller: Caller;
  draft(plan: DraftPlan): Promise<RecordedDraft>;
  /** One at-most-once call, sent through each named entry in turn until it is answered. */
  book(entries: readonly number[], timeoutMilliseconds?: number): Promise<RecordedCall>;
  /** One attempt with a given key. */
  bookOnce(
    entry: number,
    key: string,
    timeoutMilliseconds?: number,
    body?: unknown,
  ): Promise<CallReply>;
  recordEffects(): Promise<readonly Effect[]>;
  close(): void;
}

const MAXIMUM_RESUMPTIONS = 5;
const RESUME_PAUSE_MILLISECONDS = 100;

export function createRecorder(site: Site): Recorder {
  const history = createHistory();
  const caller = createCaller();
  const model = site.document.models[0]?.name ?? '';
  const defaultAccount = site.document.accounts[0]?.name ?? '';
  const service = site.document.services[0]?.name ?? '';
  const operation =
    site.document.services[0]?.operations.find(({ kind }) => kind === OperationKind.AtMostOnce)
      ?.path ?? '';

  function urlOf(index: number): string {
    return site.entries[index % site.entries.length]?.url ?? '';
  }

  async function draft(plan: DraftPlan): Promise<RecordedDraft> {
    const request = randomUUID();
    const account = plan.account ?? defaultAccount;
    const messages = [{ role: 'user', content: plan.prompt ?? `Draft for ${request}.` }];
    const limit = plan.maximumTokens;
    const options = {
      account,
      model,
      messages,
      ...(limit === undefined ? {} : { maximumTokens: limit }),
      ...(plan.timeoutMilliseconds === undefined
        ? {}
        : { timeoutMilliseconds: plan.timeoutMilliseconds }),
    };
    history.record({ kind: EventKind.Invoke, request });
    const startedAt = performance.now();
    let reply: DraftReply = await caller.draft(urlOf(plan.entry), options);
    let { text } = reply;
    let resumed = 0;
    const { firstTextMilliseconds } = reply;
    while (!reply.complete && !(reply.code !== undefined && reply.code > 0)) {
      if (resumed >= MAXIMUM_RESUMPTIONS) break;
      resumed += 1;
      await sleep(RESUME_PAUSE_MILLISECONDS);
      const { lastEventId } = reply;
      reply = await caller.draft(urlOf(plan.entry + resumed), {
        ...options,
        ...(lastEventId === '' ? {} : { lastEventId }),
      });
      text += reply.text;
      if (lastEventId !== '' && reply.lastEventId === '') reply = { ...reply, lastEventId };
    }
    const code = reply.complete ? undefined : reply.code;
    const expected = text === '' ? '' : expectedAnswer(messages, text, limit);
    history.record({
      kind: EventKind.Answer,
      request,
      text,
      expected,
      complete: reply.complete,
      ...(code === undefined ? {} : { code }),
    });
    return {
      request,
      account,
      text,
      expected,
      complete: reply.complete,
      code,
      retryAfterSeconds: reply.retryAfterSeconds,
      firstTextMilliseconds,
      startedAt,
      milliseconds: performance.now() - startedAt,
      resumed,
    };
  }

  async function bookOnce(
    entry: number,
    key: string,
    timeoutMilliseconds = 5000,
    body: unknown = { slot: key },
  ): Promise<CallReply> {
    const callKey = `${defaultAccount}/${key}`;
    const request = randomUUID();
    history.record({ kind: EventKind.Invoke, request, callKey });
    const reply = await caller.call(urlOf(entry), {
      account: defaultAccount,
      path: `/services/${service}${operation}`,
      body,
      idempotencyKey: key,
      timeoutMilliseconds,
    });
    history.record({
      kind: EventKind.Reply,
      request,
      callKey,
      status: reply.status,
      ...(reply.ran === undefined ? {} : { ran: reply.ran as Ran }),
    });
    return reply;
  }

  return {
    history,
    caller,
    draft,
    bookOnce,
    async book(entries, timeoutMilliseconds) {
      const key = randomUUID();
      const replies: CallReply[] = [];
      for (const entry of entries) {
        const reply = await bookOnce(entry, key, timeoutMilliseconds);
        replies.push(reply);
        if (reply.status === 200) break;
      }
      return { callKey: `${defaultAccount}/${key}`, replies };
    },
    async recordEffects() {
      const effects = await getJson<Effect[]>(`${site.effectsUrl}/effects`);
      for (const { account, key } of effects) {
        history.record({ kind: EventKind.Effect, callKey: `${account}/${key}` });
      }
      return effects;
    },
    close: () => caller.close(),
  };
}
