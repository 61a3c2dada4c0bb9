/**
 * The HTTP listener: TLS, and a stop that cuts nothing off.
 */
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { sleep } from '@lapisbridge/kernel';
import { generate } from 'selfsigned';
import { Agent, request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { createHttpListener } from './http-listener.js';
import type { Handler, HttpListener } from './http-listener.js';

const HOST = '127.0.0.1';
const listeners: HttpListener[] = [];
const agents: Agent[] = [];

afterEach(async () => {
  await Promise.all(agents.splice(0).map((agent) => agent.destroy()));
  await Promise.all(listeners.splice(0).map((listener) => listener.stop()));
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
  transportSecurity?: Parameters<typeof createHttpListener>[2],
): Promise<{ readonly listener: HttpListener; readonly port: number }> {
  const port = await freePort();
  const listener = createHttpListener(HOST, port, transportSecurity, handler);
  listeners.push(listener);
  await listener.start();
  return { listener, port };
}

/** More than what the kernel takes for a caller that does not read. */
const LARGE_BODY = Buffer.alloc(48 * 1024 * 1024, 'a');
/** Longer than the closing of idle connections takes, shorter than the timeout of a header. */
const STOP_MILLISECONDS = 2000;

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
    const stopped = listener.stop();
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
      const stopped = listener.stop();
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
    await listener.stop();
    expect(performance.now() - startedAt).toBeLessThan(STOP_MILLISECONDS);
    unused.destroy();
  });
});
