import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect, it } from 'vitest';

import { createEngineClient } from './engine-client.js';
import { createServiceClient } from './service-client.js';

async function withServer(status: number, check: (url: string) => Promise<void>): Promise<void> {
  const server = createServer((incoming, response) => {
    incoming.resume();
    response.writeHead(status, { 'retry-after': '1.5' });
    response.end('answer');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await check(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.close();
  }
}

async function askService(url: string): Promise<unknown> {
  const client = createServiceClient(url, () => 1000);
  const call = {
    method: 'POST',
    path: '/',
    contentType: 'text/plain',
    account: 'account',
    idempotencyKey: '',
    body: Buffer.from('body'),
    timeoutMilliseconds: 1000,
  };
  const outcome = await client.call(call);
  client.close();
  return outcome;
}

async function askEngine(url: string): Promise<unknown> {
  const client = createEngineClient(url);
  const outcome = await client.stream({
    body: { messages: [] },
    deliveredText: '',
    deliveredTokens: 0,
    priority: 1,
    silenceMilliseconds: 1000,
    signal: new AbortController().signal,
    onText: () => undefined,
  });
  client.close();
  return outcome;
}

it('tells the backoff that a server asks for with 503', async () => {
  // Guards against backoffs that are lost between a backend server and its sidecar.
  await withServer(503, async (url) => {
    expect(await askService(url)).toMatchObject({ status: 503, retryAfter: '1.5' });
    expect(await askEngine(url)).toMatchObject({ kind: 'notStarted', retryAfter: '1.5' });
  });
});

it('tells no backoff with another status', async () => {
  await withServer(500, async (url) => {
    expect(await askService(url)).toMatchObject({ status: 500, retryAfter: undefined });
    expect(await askEngine(url)).toMatchObject({ kind: 'notStarted', retryAfter: undefined });
  });
});
