/**
 * Where an answer's text goes on its way to the caller: server-sent events as they come, or
 * one JSON body at the end.
 */
import type { ServerResponse } from 'node:http';

import { formatEventId } from '@lapisbridge/answers';
import { problemBody, ResultCode } from '@lapisbridge/errors';
import type { LapisError } from '@lapisbridge/errors';

import { sendJson, sendProblem } from './reply.js';

export interface AnswerSink {
  /** Takes the next text; false when the caller reads more slowly than text comes. */
  write(text: string, offset: number, instanceId: string): boolean;
  onDrain(listener: () => void): void;
  finish(finishReason: string, completionTokens: number): void;
  fail(error: LapisError): void;
}

export interface SinkOptions {
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly model: string;
}

const KEEP_ALIVE_MILLISECONDS = 5000;
/** A caller that takes nothing for so long is dropped, so that it holds no memory for good. */
const STALL_MILLISECONDS = 30_000;
const MILLISECONDS_PER_SECOND = 1000;

function created(): number {
  return Math.floor(Date.now() / MILLISECONDS_PER_SECOND);
}

/** One whole JSON answer. Nothing is sent before the end, so every failure has its status. */
export function createJsonSink({ response, requestId, model }: SinkOptions): AnswerSink {
  const pieces: string[] = [];
  return {
    write(text) {
      pieces.push(text);
      return true;
    },
    onDrain: () => undefined,
    finish(finishReason, completionTokens) {
      const content = pieces.join('');
      response.setHeader('lapisbridge-request', requestId);
      sendJson(response, 200, {
        id: requestId,
        object: 'chat.completion',
        created: created(),
        model,
        choices: [
          { index: 0, message: { role: 'assistant', content }, finish_reason: finishReason },
        ],
        usage: { completion_tokens: completionTokens },
      });
    },
    fail(error) {
      sendProblem(response, error, requestId);
    },
  };
}

/** Drops a caller that stopped reading, without touching the others. */
function watchStall(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null) return;
  socket.setKeepAlive(true, KEEP_ALIVE_MILLISECONDS);
  let blockedSince: number | undefined;
  const timer = setInterval(() => {
    if (!response.writableNeedDrain) blockedSince = undefined;
    else blockedSince ??= performance.now();
    if (blockedSince === undefined) return;
    if (performance.now() - blockedSince > STALL_MILLISECONDS) response.destroy();
  }, KEEP_ALIVE_MILLISECONDS);
  response.once('close', () => clearInterval(timer));
}

/** Server-sent events. `[DONE]` is written after a whole answer and never otherwise. */
export function createEventSink({ response, requestId, model }: SinkOptions): AnswerSink {
  const head = { id: requestId, object: 'chat.completion.chunk', created: created(), model };
  // The constant part of each event is serialised once; only the text differs per token.
  const prefix = `${JSON.stringify(head).slice(0, -1)},"choices":[{"index":0,"delta":{"content":`;
  const suffix = '},"finish_reason":null}]}';
  let keepAlive: NodeJS.Timeout | undefined;
  let lastWriteAt = 0;

  function open(): void {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      'lapisbridge-request': requestId,
      'lapisbridge-result': ResultCode.Accepted,
    });
    watchStall(response);
    keepAlive = setInterval(() => {
      const idle = performance.now() - lastWriteAt;
      if (idle >= KEEP_ALIVE_MILLISECONDS && !response.writableNeedDrain) {
        response.write(': keep-alive\n\n');
      }
    }, KEEP_ALIVE_MILLISECONDS);
    response.once('close', () => clearInterval(keepAlive));
  }

  return {
    write(text, offset, instanceId) {
      open();
      lastWriteAt = performance.now();
      const id = formatEventId({ requestId, instanceId, offset: offset + text.length });
      return response.write(`id: ${id}\ndata: ${prefix}${JSON.stringify(text)}${suffix}\n\n`);
    },
    onDrain(listener) {
      response.once('drain', listener);
    },
    finish(finishReason, completionTokens) {
      open();
      const last = {
        ...head,
        choices: [{ index: 0, delta: {}, finish_reason: finishReason }],
        usage: { completion_tokens: completionTokens },
      };
      response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    },
    fail(error) {
      if (!response.headersSent) {
        sendProblem(response, error, requestId);
        return;
      }
      const problem = JSON.stringify(problemBody(error, requestId));
      response.end(`event: error\ndata: ${problem}\n\n`);
    },
  };
}
