/**
 * JSON over HTTP for scaffolding.
 */
import { Agent, request } from 'undici';

const TIMEOUT_MILLISECONDS = 10_000;
const agent = new Agent({
  connections: 64,
  pipelining: 1,
  // Certificates of tests are signed by nobody.
  connect: { rejectUnauthorized: false },
});

async function sendText(
  method: 'GET' | 'POST',
  url: string,
  body: unknown,
  token: string | undefined,
): Promise<string> {
  const reply = await request(url, {
    method,
    dispatcher: agent,
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    headers: {
      'content-type': 'application/json',
      ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
    },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = await reply.body.text();
  if (reply.statusCode >= 400) throw new Error(`${url} answered ${reply.statusCode}: ${text}`);
  return text;
}

export function getJson<T>(url: string, token?: string): Promise<T> {
  return sendText('GET', url, undefined, token).then((text) => JSON.parse(text) as T);
}

export function postJson<T>(url: string, body: unknown, token?: string): Promise<T> {
  return sendText('POST', url, body, token).then((text) => JSON.parse(text) as T);
}

export function getText(url: string): Promise<string> {
  return sendText('GET', url, undefined, undefined);
}
