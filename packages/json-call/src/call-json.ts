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

/** Rejects when no whole answer came in time. */
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
    request.on('close', () => clearTimeout(timer));
    request.on('error', reject);
    request.on('response', (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
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
