/**
 * Streams one answer from a model engine by the common chat-completions protocol. An answer
 * counts as whole only with its finish reason and its end mark; a stream that merely ends
 * was broken off.
 */
import type { EventSourceMessage } from 'eventsource-parser';
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

import { retryAfterOf } from './retry-after-of.js';

export interface EngineRequest {
  /** The caller's own fields; messages are extended when an answer is continued. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly deliveredText: string;
  readonly deliveredTokens: number;
  readonly priority: number;
  readonly silenceMilliseconds: number;
  readonly signal: AbortSignal;
  onText(text: string): void;
}

export enum EngineOutcomeKind {
  Complete = 'complete',
  /** Refused before anything ran, for example because the engine is not there. */
  NotStarted = 'notStarted',
  /** The engine refused the request itself; another engine would too. */
  Rejected = 'rejected',
  Broken = 'broken',
}

export type EngineOutcome =
  | { readonly kind: EngineOutcomeKind.Complete; readonly finishReason: string }
  | {
      readonly kind: EngineOutcomeKind.NotStarted;
      readonly reason: string;
      /** What the engine says of the time without requests that it wants. */
      readonly retryAfter: string | undefined;
    }
  | { readonly kind: EngineOutcomeKind.Rejected; readonly reason: string }
  | { readonly kind: EngineOutcomeKind.Broken; readonly reason: string };

export interface EngineClient {
  stream(request: EngineRequest): Promise<EngineOutcome>;
  close(): void;
}

interface CompletionChunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
}

const MAXIMUM_CONNECTIONS = 4096;
const UNSENT_ERRORS = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const END_MARK = '[DONE]';

/**
 * An engine can break off between the last token and its end mark. Asked to go on from there it
 * would have to generate at least one token more than the caller allowed.
 */
function isUsedUp({ body, deliveredTokens }: EngineRequest): boolean {
  const limit = body.max_tokens;
  return typeof limit === 'number' && deliveredTokens >= limit;
}

/** The body for the engine: a continued answer hands over the text that callers already have. */
function engineBody(given: EngineRequest): Record<string, unknown> {
  const body: Record<string, unknown> = {
    ...given.body,
    stream: true,
    priority: given.priority,
  };
  if (given.deliveredText === '') return body;
  const messages = given.body.messages as unknown[];
  body.messages = [...messages, { role: 'assistant', content: given.deliveredText }];
  body.continue_final_message = true;
  body.add_generation_prompt = false;
  const limit = given.body.max_tokens;
  if (typeof limit === 'number') body.max_tokens = limit - given.deliveredTokens;
  return body;
}

/** Follows the events of one stream until its end mark. */
function createFollower(onText: (text: string) => void): {
  feed(chunk: string): void;
  finishReason: string | undefined;
  ended: boolean;
} {
  const follower = {
    finishReason: undefined as string | undefined,
    ended: false,
    feed: (chunk: string): void => parser.feed(chunk),
  };
  function onEvent(event: EventSourceMessage): void {
    if (event.data === END_MARK) {
      follower.ended = true;
      return;
    }
    const choice = (JSON.parse(event.data) as CompletionChunk).choices?.[0];
    const text = choice?.delta?.content;
    if (text !== undefined && text !== '') onText(text);
    if (typeof choice?.finish_reason === 'string') follower.finishReason = choice.finish_reason;
  }
  const parser = createParser({ onEvent });
  return follower;
}

export function createEngineClient(url: string): EngineClient {
  const agent = new Agent({
    connections: MAXIMUM_CONNECTIONS,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  return {
    async stream(given) {
      if (isUsedUp(given)) return { kind: EngineOutcomeKind.Complete, finishReason: 'length' };
      const silence = new AbortController();
      const signal = AbortSignal.any([given.signal, silence.signal]);
      // A connection can go silent for good in mid-answer. Aborting also discards the
      // connection, so that no later request is sent over it.
      let timer = setTimeout(() => silence.abort(), given.silenceMilliseconds);
      const heard = (): void => {
        clearTimeout(timer);
        timer = setTimeout(() => silence.abort(), given.silenceMilliseconds);
      };
      try {
        const reply = await request(`${url}/v1/chat/completions`, {
          method: 'POST',
          dispatcher: agent,
          signal,
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(engineBody(given)),
        });
        heard();
        if (reply.statusCode !== 200) {
          const reason = `the engine answered ${reply.statusCode}`;
          await reply.body.dump();
          const rejected = reply.statusCode >= 400 && reply.statusCode < 429;
          if (rejected) return { kind: EngineOutcomeKind.Rejected, reason };
          return { kind: EngineOutcomeKind.NotStarted, reason, retryAfter: retryAfterOf(reply) };
        }
        const follower = createFollower(given.onText);
        const decoder = new TextDecoder();
        for await (const chunk of reply.body) {
          heard();
          follower.feed(decoder.decode(chunk as Buffer, { stream: true }));
        }
        if (follower.ended && follower.finishReason !== undefined) {
          return { kind: EngineOutcomeKind.Complete, finishReason: follower.finishReason };
        }
        return { kind: EngineOutcomeKind.Broken, reason: 'the stream ended without its end mark' };
      } catch (thrown) {
        const { code, message } = thrown as NodeJS.ErrnoException;
        const unsent = UNSENT_ERRORS.has(code ?? '');
        const reason = silence.signal.aborted ? 'the engine fell silent' : message;
        if (!unsent) return { kind: EngineOutcomeKind.Broken, reason };
        return { kind: EngineOutcomeKind.NotStarted, reason, retryAfter: undefined };
      } finally {
        clearTimeout(timer);
      }
    },
    close() {
      void agent.destroy();
    },
  };
}
