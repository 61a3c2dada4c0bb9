/**
 * A caller as a program would write one: drafts by server-sent events or as one answer, and
 * calls of plain services. Every reply is told as data, errors included.
 */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

import { accountKey } from './site.js';

export interface DraftOptions {
  readonly account: string;
  readonly model: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly maximumTokens?: number;
  readonly timeoutMilliseconds?: number;
  readonly lastEventId?: string;
  readonly signal?: AbortSignal;
  onText?(text: string): void;
}

export interface DraftReply {
  readonly status: number;
  readonly text: string;
  /** True only if the end mark came. */
  readonly complete: boolean;
  readonly requestId: string;
  readonly lastEventId: string;
  /** Code of an error reply or error event. */
  readonly code: number | undefined;
  readonly retryAfterSeconds: number | undefined;
  /** Milliseconds to the first text, and to the end. */
  readonly firstTextMilliseconds: number | undefined;
  readonly milliseconds: number;
}

export interface CallOptions {
  readonly account: string;
  readonly path: string;
  readonly body: unknown;
  readonly idempotencyKey?: string;
  readonly timeoutMilliseconds?: number;
}

export interface CallReply {
  readonly status: number;
  readonly body: unknown;
  readonly code: number | undefined;
  readonly ran: string | undefined;
  readonly replayed: boolean;
  readonly instance: string;
  readonly retryAfterSeconds: number | undefined;
}

export interface Caller {
  draft(url: string, options: DraftOptions): Promise<DraftReply>;
  call(url: string, options: CallOptions): Promise<CallReply>;
  close(): void;
}

interface EventData {
  readonly code?: number;
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

function headersOf(
  account: string,
  timeoutMilliseconds: number | undefined,
): Record<string, string> {
  return {
    authorization: `Bearer ${accountKey(account)}`,
    'content-type': 'application/json',
    ...(timeoutMilliseconds === undefined
      ? {}
      : { 'lapisbridge-timeout-ms': String(timeoutMilliseconds) }),
  };
}

function headerNumber(value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' ? Number(value) : undefined;
}

function headerText(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : '';
}

export function createCaller(): Caller {
  const agent = new Agent({
    connections: 2048,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  return {
    async draft(url, options) {
      const startedAt = performance.now();
      let firstTextMilliseconds: number | undefined;
      let text = '';
      let complete = false;
      let lastEventId = options.lastEventId ?? '';
      let code: number | undefined;
      let status = 0;
      let requestId = '';
      let retryAfterSeconds: number | undefined;
      const parser = createParser({
        onEvent(event) {
          if (event.data === '[DONE]') {
            complete = true;
            return;
          }
          const data = JSON.parse(event.data) as EventData;
          if (event.event === 'error') {
            code = data.code;
            return;
          }
          if (event.id !== undefined) lastEventId = event.id;
          const piece = data.choices?.[0]?.delta?.content ?? '';
          if (piece === '') return;
          firstTextMilliseconds ??= performance.now() - startedAt;
          text += piece;
          options.onText?.(piece);
        },
      });
      try {
        const reply = await request(`${url}/v1/chat/completions`, {
          method: 'POST',
          dispatcher: agent,
          signal: options.signal ?? null,
          headers: {
            ...headersOf(options.account, options.timeoutMilliseconds),
            ...(options.lastEventId === undefined ? {} : { 'last-event-id': options.lastEventId }),
          },
          body: JSON.stringify({
            model: options.model,
            messages: options.messages,
            stream: true,
            ...(options.maximumTokens === undefined ? {} : { max_tokens: options.maximumTokens }),
          }),
        });
        status = reply.statusCode;
        requestId = headerText(reply.headers['lapisbridge-request']);
        code = headerNumber(reply.headers['lapisbridge-result']);
        retryAfterSeconds = headerNumber(reply.headers['retry-after']);
        const decoder = new TextDecoder();
        for await (const chunk of reply.body) {
          if (status === 200) parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
        }
      } catch {
        // A broken connection is a result too: incomplete, with what came before it.
      }
      return {
        status,
        text,
        complete,
        requestId,
        lastEventId,
        code,
        retryAfterSeconds,
        firstTextMilliseconds,
        milliseconds: performance.now() - startedAt,
      };
    },
    async call(url, options) {
      try {
        const reply = await request(`${url}${options.path}`, {
          method: 'POST',
          dispatcher: agent,
          headers: {
            ...headersOf(options.account, options.timeoutMilliseconds),
            ...(options.idempotencyKey === undefined
              ? {}
              : { 'idempotency-key': options.idempotencyKey }),
          },
          body: JSON.stringify(options.body),
        });
        const body = (await reply.body.json()) as { ran?: string };
        return {
          status: reply.statusCode,
          body,
          code: headerNumber(reply.headers['lapisbridge-result']),
          ran: body.ran ?? (headerText(reply.headers['lapisbridge-ran']) || undefined),
          replayed: reply.headers['lapisbridge-replayed'] === 'true',
          instance: headerText(reply.headers['lapisbridge-instance']),
          retryAfterSeconds: headerNumber(reply.headers['retry-after']),
        };
      } catch {
        return {
          status: 0,
          body: null,
          code: undefined,
          ran: undefined,
          replayed: false,
          instance: '',
          retryAfterSeconds: undefined,
        };
      }
    },
    close() {
      void agent.destroy();
    },
  };
}
