/**
 * The HTTP listener: TLS, and a stop that cuts nothing off.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

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

describe('the HTTP listener', () => {
  it('speaks TLS when a certificate is set', async () => {
    const pems = generate([{ name: 'commonName', value: HOST }], {
      keySize: 2048,
      extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: HOST }] }],
    });
    const folder = mkdtempSync(join(tmpdir(), 'lapisbridge-tls-'));
    const certificateFile = join(folder, 'certificate.pem');
    const keyFile = join(folder, 'key.pem');
    writeFileSync(certificateFile, pems.cert);
    writeFileSync(keyFile, pems.private);
    const { port } = await listen(
      (_request, response) => {
        response.end('secret');
        return Promise.resolve();
      },
      { certificateFile, keyFile },
    );
    rmSync(folder, { recursive: true });
    const agent = new Agent({ connect: { ca: pems.cert } });
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
});
