/**
 * One HTTP call with JSON bodies. A call that times out closes its connection, so that a kept
 * one that fell silent is never used twice.
 */
import { request as httpRequest } from 'node:http';
import type { Agent } from 'node:http';

import { parseObject } from './decode.js';
import type { JsonObject } from './decode.js';

export interface JsonCall {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Undefined sends none. */
  readonly body: unknown;
  /** For the whole call. */
  readonly timeoutMilliseconds: number;
  /** Keeps connections, for reads that are repeated often; a fresh one each time without it. */
  readonly agent?: Agent;
}

export interface JsonAnswer {
  readonly status: number;
  /** Empty when the answer had no JSON object. */
  readonly body: JsonObject;
}

/** A page of the store has at most 1 MB, which base64 and JSON make larger. */
const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;
/** Informational responses (1xx) that may precede an answer. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 8;

/** The answer is larger than any that is expected; a caller has to ask for less at once. */
export class AnswerTooLargeError extends Error {
  override readonly name = 'AnswerTooLargeError';

  readonly code = 'ANSWER_TOO_LARGE';

  constructor() {
    super(`answer too large: expected at most ${MAXIMUM_ANSWER_BYTES} bytes; ask for less`);
  }
}

/**
 * Rejects when no whole answer came in time, or a larger one than any that is expected
 * (`AnswerTooLargeError`).
 */
export function callJson(call: JsonCall): Promise<JsonAnswer> {
  return new Promise((resolve, reject) => {
    const payload = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
    const request = httpRequest({
      host: call.host,
      port: call.port,
      method: call.method,
      path: call.path,
      agent: call.agent ?? false,
      headers: {
        connection: call.agent === undefined ? 'close' : 'keep-alive',
        ...(payload === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': payload.length }),
      },
    });
    const timer = setTimeout(() => {
      request.destroy(new Error('no answer in time'));
    }, call.timeoutMilliseconds);
    let informationalResponses = 0;
    request.on('information', () => {
      informationalResponses += 1;
      if (informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES)
        request.destroy(new Error('too many informational responses'));
    });
    request.on('close', () => clearTimeout(timer));
    request.on('error', reject);
    request.on('response', (incoming) => {
      const chunks: Buffer[] = [];
      let receivedBytes = 0;
      incoming.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > MAXIMUM_ANSWER_BYTES) request.destroy(new AnswerTooLargeError());
        else chunks.push(chunk);
      });
      incoming.on('error', reject);
      incoming.on('close', () => {
        if (!incoming.complete) {
          reject(new Error('answer broken off'));
          return;
        }
        const body = parseObject(Buffer.concat(chunks)) ?? {};
        resolve({ status: incoming.statusCode ?? 0, body });
      });
    });
    request.end(payload);
  });
}
