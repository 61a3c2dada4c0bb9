/**
 * Calls to the platform over HTTP. A pooled connection can go silent for good while new
 * ones work: the call then times out although the platform is well. So the whole pool is
 * replaced after a timeout, and the next call uses a fresh connection.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { Ran } from '@lapisbridge/types';
import { Agent, request } from 'undici';

export interface PlatformOptions {
  readonly url: string;
  readonly timeoutMilliseconds: number;
}

export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

export interface PlatformConnection {
  /** Sends one call. Rejects with `StoreUnavailable` and `ran: unknown` when no answer came. */
  send(method: 'GET' | 'POST' | 'PUT', path: string, body?: unknown): Promise<JsonReply>;
  close(): void;
}

const CONNECTIONS = 16;
const NOT_FOUND = 404;

export function connectPlatform(options: PlatformOptions): PlatformConnection {
  let agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });

  function replaceAgent(used: Agent): void {
    if (agent !== used) return;
    agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
    // Calls still on the old pool have their own timeouts; destroying it now would cut them.
    setTimeout(() => void used.destroy(), options.timeoutMilliseconds).unref();
  }

  return {
    async send(method, path, body) {
      const used = agent;
      try {
        const reply = await request(`${options.url}${path}`, {
          method,
          dispatcher: used,
          signal: AbortSignal.timeout(options.timeoutMilliseconds),
          ...(body === undefined
            ? {}
            : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
        });
        const text = await reply.body.text();
        if (reply.statusCode >= 500) {
          throw new Error(`the platform answered ${reply.statusCode}`);
        }
        const isMissing = text === '' && method !== 'PUT' && reply.statusCode !== NOT_FOUND;
        // A response without a length that is reset after its head has an empty body.
        if (isMissing) throw new Error('the platform answered without a body');
        return { status: reply.statusCode, body: text === '' ? null : JSON.parse(text) };
      } catch (thrown) {
        replaceAgent(used);
        throw new LapisError(ResultCode.StoreUnavailable, (thrown as Error).message, {
          ran: Ran.Unknown,
        });
      }
    },
    close() {
      void agent.destroy();
    },
  };
}
