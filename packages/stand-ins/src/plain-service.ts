/**
 * Stand-in of a plain service with several runners: bookings that must run at most once,
 * and look-ups that may be repeated. It records every execution that really took place.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { listen, readJson, reply } from './http-server.js';

export interface PlainServiceOptions {
  readonly host: string;
  /** One port for each runner. */
  readonly ports: readonly number[];
  readonly effectsPort: number;
}

/** One execution that took place. */
export interface Effect {
  readonly account: string;
  readonly key: string;
  readonly operation: string;
  readonly server: string;
}

/** Set by `POST /faults` at the effects port; a field left out stays as it is. */
export interface ServiceFaults {
  /** Time between taking a call and executing it. */
  readonly delayMilliseconds: number;
  /** That many calls are executed and then lose their answer. */
  readonly loseAnswers: number;
}

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

export async function startPlainService(options: PlainServiceOptions): Promise<void> {
  const bootId = randomUUID();
  const effects: Effect[] = [];
  let lookUps = 0;
  let faults: ServiceFaults = { delayMilliseconds: 0, loseAnswers: 0 };

  async function execute(
    request: IncomingMessage,
    response: ServerResponse,
    server: string,
  ): Promise<void> {
    const body = (await readJson(request)) as Record<string, unknown>;
    if (faults.delayMilliseconds > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, faults.delayMilliseconds);
      });
    }
    const operation = (request.url ?? '/').split('?', 1)[0];
    effects.push({
      account: headerOf(request, 'lapisbridge-account'),
      key: headerOf(request, 'idempotency-key'),
      operation,
      server,
    });
    if (faults.loseAnswers > 0) {
      faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
      response.destroy();
      return;
    }
    reply(response, 200, {
      confirmation: `C-${effects.length}`,
      operation,
      received: body,
      server,
    });
  }

  async function lookUp(
    request: IncomingMessage,
    response: ServerResponse,
    server: string,
  ): Promise<void> {
    const body = (await readJson(request)) as Record<string, unknown>;
    lookUps += 1;
    const visits = [{ date: '2026-05-12', result: 'passed' }];
    reply(response, 200, { site: body.site ?? null, visits, server });
  }

  for (const [index, port] of options.ports.entries()) {
    const server = `runner-${index + 1}`;
    await listen(options.host, port, async (request, response) => {
      if (request.url === '/load') reply(response, 200, { bootId, warm: true });
      else if ((request.url ?? '').startsWith('/histories'))
        await lookUp(request, response, server);
      else if ((request.url ?? '').startsWith('/stock-summaries'))
        await lookUp(request, response, server);
      else await execute(request, response, server);
    });
  }
  await listen(options.host, options.effectsPort, async (request, response) => {
    if (request.url === '/faults') {
      faults = { ...faults, ...((await readJson(request)) as Partial<ServiceFaults>) };
      reply(response, 200, faults);
    } else if (request.url === '/counts') {
      reply(response, 200, { effects: effects.length, lookUps });
    } else {
      reply(response, 200, effects);
    }
  });
}
