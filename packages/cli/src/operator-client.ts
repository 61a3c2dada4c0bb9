/**
 * Calls the operators' HTTP of an entry.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { ProblemBody } from '@lapisbridge/errors';
import { Agent, request } from 'undici';

export interface OperatorClient {
  get<T>(path: string): Promise<T>;
  post<T>(path: string, body: unknown): Promise<T>;
}

export interface OperatorClientOptions {
  readonly url: string;
  readonly token: string;
  /** PEM text of the authority that signed the entry's certificate. */
  readonly certificateAuthority?: string;
}

const TIMEOUT_MILLISECONDS = 15_000;

function toError(body: unknown): LapisError {
  const problem = body as ProblemBody;
  return new LapisError(problem.code, problem.detail, {
    ran: problem.ran,
    ...(problem.problems === undefined ? {} : { problems: problem.problems }),
  });
}

export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const dispatcher = new Agent({
    connections: 1,
    ...(options.certificateAuthority === undefined
      ? {}
      : { connect: { ca: options.certificateAuthority } }),
  });

  async function send<T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<T> {
    let status: number;
    let answer: unknown;
    try {
      const reply = await request(`${options.url}${path}`, {
        method,
        dispatcher,
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
        headers: { authorization: `Bearer ${options.token}`, 'content-type': 'application/json' },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      status = reply.statusCode;
      answer = await reply.body.json();
    } catch (thrown) {
      throw new LapisError(
        ResultCode.ConnectionFailed,
        `${options.url}: ${(thrown as Error).message}`,
      );
    }
    if (status >= 400) throw toError(answer);
    return answer as T;
  }

  return {
    get: (path) => send('GET', path),
    post: (path, body) => send('POST', path, body),
  };
}
