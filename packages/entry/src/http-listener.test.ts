/**
 * The HTTP listener: TLS, and a stop that cuts nothing off.
 */
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createClientGuard, planClientLimits } from '@lapisbridge/client-limits';
import { ResultCode } from '@lapisbridge/errors';
import { sleep } from '@lapisbridge/kernel';
import { createSilentLogger } from '@lapisbridge/logger';
import { generate } from 'selfsigned';
import { Agent, request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { createHttpListener } from './http-listener.js';
import type { Handler, HttpListener, HttpListenerOptions } from './http-listener.js';

const HOST = '127.0.0.1';
const listeners: HttpListener[] = [];
const agents: Agent[] = [];

afterEach(async () => {
  await Promise.all(agents.splice(0).map((agent) => agent.destroy()));
  await Promise.all(listeners.splice(0).map((listener) => listener.stop(0)));
});

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

async function listen(
  handler: Handler,
  transportSecurity?: HttpListenerOptions['transportSecurity'],
): Promise<{ readonly listener: HttpListener; readonly port: number }> {
  const port = await freePort();
  const guard = createClientGuard({
    limits: planClientLimits({ memoryBytes: 350e6, maximumDescriptors: 4200, heapBytes: 100e6 }),
    logger: createSilentLogger(),
    now: () => performance.now(),
  });
  const listener = createHttpListener({ host: HOST, port, transportSecurity, guard, handler });
  listeners.push(listener);
  await listener.start();
  return { listener, port };
}

/** More than what the kernel takes for a caller that does not read. */
const LARGE_BODY = Buffer.alloc(48 * 1024 * 1024, 'a');
/** Time that a stop may take. */
const STOP_MILLISECONDS = 5000;
/** Longer than the closing of idle connections takes. */
const PROMPT_MILLISECONDS = 2000;
const SHORT_STOP_MILLISECONDS = 300;

interface Certificate {
  readonly authority: string;
  readonly files: { readonly certificateFile: string; readonly keyFile: string };
  remove(): void;
}

function createCertificate(): Certificate {
  const pems = generate([{ name: 'commonName', value: HOST }], {
    keySize: 2048,
    extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: HOST }] }],
  });
  const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-tls-'));
  const certificateFile = join(folder, 'certificate.pem');
  const keyFile = join(folder, 'key.pem');
  writeFileSync(certificateFile, pems.cert);
  writeFileSync(keyFile, pems.private);
  return {
    authority: pems.cert,
    files: { certificateFile, keyFile },
    remove: () => rmSync(folder, { recursive: true }),
  };
}

describe('the HTTP listener', () => {
  it('speaks TLS when a certificate is set', async () => {
    const certificate = createCertificate();
    const { port } = await listen((_request, response) => {
      response.end('secret');
      return Promise.resolve();
    }, certificate.files);
    certificate.remove();
    const agent = new Agent({ connect: { ca: certificate.authority } });
    agents.push(agent);
    const reply = await request(`https://${HOST}:${port}/`, { dispatcher: agent });
    expect(await reply.body.text()).toBe('secret');
    await expect(request(`http://${HOST}:${port}/`)).rejects.toThrow();
  });

  it('finishes the answer in progress before it stops', async () => {
    // An entry is stopped for a deployment while it writes an answer. Closing the listener's
    // connections would cut the answer off in the middle.
    let finish = (): void => undefined;
    const { listener, port } = await listen((_request, response) => {
      response.write('first ');
      return new Promise((resolve) => {
        finish = () => {
          response.end('last');
          resolve();
        };
      });
    });
    const agent = new Agent();
    agents.push(agent);
    const reply = await request(`http://${HOST}:${port}/`, { dispatcher: agent });
    const text = reply.body.text();
    const stopped = listener.stop(STOP_MILLISECONDS);
    await expect(request(`http://${HOST}:${port}/`)).rejects.toThrow();
    finish();
    expect(await text).toBe('first last');
    await stopped;
  });

  it.each([
    ['HTTP', undefined],
    ['HTTPS', createCertificate()],
  ])(
    'sends a caller that reads slowly its whole answer over %s before it stops',
    async (scheme, certificate) => {
      // Guards against answers that are truncated once their last byte has been handed over.
      const { listener, port } = await listen((_request, response) => {
        response.end(LARGE_BODY);
        return Promise.resolve();
      }, certificate?.files);
      certificate?.remove();
      const agent = new Agent({ connect: { ca: certificate?.authority } });
      agents.push(agent);
      const reply = await request(`${scheme.toLowerCase()}://${HOST}:${port}/`, {
        dispatcher: agent,
      });
      const stopped = listener.stop(STOP_MILLISECONDS);
      await sleep(300);
      expect((await reply.body.arrayBuffer()).byteLength).toBe(LARGE_BODY.length);
      await stopped;
    },
  );

  it('does not wait for connections on which no request has come', async () => {
    const { listener, port } = await listen(() => Promise.resolve());
    const unused = connect(port, HOST);
    await once(unused, 'connect');
    await sleep(50);
    const startedAt = performance.now();
    await listener.stop(STOP_MILLISECONDS);
    expect(performance.now() - startedAt).toBeLessThan(PROMPT_MILLISECONDS);
    unused.destroy();
  });

  it('closes each connection with its next answer once it drains', async () => {
    // Guards against requests that come late on kept connections of an entry that stops.
    let finish = (): void => undefined;
    const { listener, port } = await listen((incoming, response) => {
      if (incoming.url === '/later') finish = () => void response.end('later');
      else response.end('at once');
      return Promise.resolve();
    });
    const agent = new Agent();
    agents.push(agent);
    const open = async (path: string) =>
      request(`http://${HOST}:${port}${path}`, { dispatcher: agent });
    const before = await open('/');
    expect(before.headers.connection).toBe('keep-alive');
    await before.body.dump();
    const pending = open('/later');
    await sleep(50);
    listener.beginDrain();
    finish();
    const afterwards = [await pending, await open('/')];
    expect(afterwards.map(({ headers }) => headers.connection)).toEqual(['close', 'close']);
    await Promise.all(afterwards.map(({ body }) => body.dump()));
  });

  it('ends requests that are not answered in time with an error, and stops', async () => {
    // Guards against an entry that is killed under its requests because it does not end in time.
    const { listener, port } = await listen((incoming, response) => {
      if (incoming.url === '/stream') response.write('first ');
      return Promise.resolve();
    });
    const agent = new Agent();
    agents.push(agent);
    const stream = await request(`http://${HOST}:${port}/stream`, { dispatcher: agent });
    const text = expect(stream.body.text()).rejects.toThrow();
    const pending = request(`http://${HOST}:${port}/pending`, { dispatcher: agent });
    await sleep(50);
    const startedAt = performance.now();
    expect(await listener.stop(SHORT_STOP_MILLISECONDS)).toBe(2);
    expect(performance.now() - startedAt).toBeLessThan(PROMPT_MILLISECONDS);
    await text;
    const { statusCode, headers } = await pending;
    expect(statusCode).toBe(503);
    expect(headers).toMatchObject({
      'lapisbridge-result': String(ResultCode.OutcomeUnknown),
      'retry-after': '1',
      connection: 'close',
    });
  });
});
