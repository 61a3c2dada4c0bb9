/**
 * Stand-in of a model engine: batches continuously, streams tokens by the common
 * chat-completions protocol, caches prompt prefixes, starts cold, and falls over when a cold
 * engine gets full load. Its load report lags.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { answerTokens, countTokens, generationOf } from './generated-text.js';
import type { ChatMessage } from './generated-text.js';
import { listen, readJson, reply } from './http-server.js';
import { createPrefixCache } from './prefix-cache.js';

export interface EngineOptions {
  readonly host: string;
  readonly port: number;
  readonly stepMilliseconds: number;
  /** Tokens to generate before the engine is warm. */
  readonly warmUpTokens: number;
  /** Requests at once that a cold engine survives. */
  readonly coldCapacity: number;
  readonly prefillMillisecondsPerBlock: number;
  readonly cacheBlocks: number;
  readonly reportLagMilliseconds: number;
}

/** Set by `POST /faults`; a field left out stays as it is. */
export interface EngineFaults {
  /** Steps are this many times slower. */
  readonly slowFactor: number;
  /** Streams end without their end mark after this many further tokens; 0 never. */
  readonly breakAfterTokens: number;
  /** Streams go silent after this many further tokens; 0 never. */
  readonly silentAfterTokens: number;
}

interface Stream {
  readonly response: ServerResponse;
  readonly tokens: readonly string[];
  readonly readyAt: number;
  next: number;
}

interface ChatRequest {
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly continue_final_message?: boolean;
}

const COLD_SLOWDOWN = 2;
/** Share of the step time that a full batch adds. */
const BATCH_SLOWDOWN = 0.005;

export async function startEngine(options: EngineOptions): Promise<void> {
  const bootId = randomUUID();
  const cache = createPrefixCache(options.cacheBlocks);
  const streams = new Set<Stream>();
  const counts = { started: 0, cancelled: 0, tokens: 0, fallOvers: 0, highestWhileCold: 0 };
  let faults: EngineFaults = { slowFactor: 1, breakAfterTokens: 0, silentAfterTokens: 0 };
  let warmth = 0;
  let generations = 0;
  let report = { bootId, warm: warmth >= options.warmUpTokens, running: 0 };

  const isWarm = (): boolean => warmth >= options.warmUpTokens;

  function parseStream(body: ChatRequest, response: ServerResponse): Stream {
    const continued = body.continue_final_message === true;
    const prompt = continued ? body.messages.slice(0, -1) : body.messages;
    const deliveredText = continued ? (body.messages.at(-1)?.content ?? '') : '';
    const delivered = countTokens(deliveredText);
    generations += 1;
    const fresh = `${options.port}-${generations}`;
    const generation = delivered > 0 ? generationOf(deliveredText) : fresh;
    const maximum = body.max_tokens === undefined ? undefined : body.max_tokens + delivered;
    const text = body.messages.map(({ content }) => content).join('');
    const prefill = cache.use(text) * options.prefillMillisecondsPerBlock;
    return {
      response,
      tokens: answerTokens(prompt, generation, maximum),
      readyAt: performance.now() + prefill,
      next: delivered,
    };
  }

  /** Too much load on a cold engine: every answer breaks off and the engine is cold again. */
  function fallOver(): void {
    counts.fallOvers += 1;
    warmth = 0;
    cache.clear();
    for (const stream of streams) stream.response.destroy();
    streams.clear();
  }

  async function complete(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) as ChatRequest;
    const stream = parseStream(body, response);
    counts.started += 1;
    streams.add(stream);
    if (!isWarm()) counts.highestWhileCold = Math.max(counts.highestWhileCold, streams.size);
    response.on('close', () => {
      if (streams.delete(stream)) counts.cancelled += 1;
    });
    if (!isWarm() && streams.size > options.coldCapacity) {
      fallOver();
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
  }

  function writeEvent(response: ServerResponse, delta: object, finishReason: string | null): void {
    const choice = { index: 0, delta, finish_reason: finishReason };
    response.write(`data: ${JSON.stringify({ choices: [choice] })}\n\n`);
  }

  function counted(limit: number): boolean {
    return limit > 0 && counts.tokens % limit === 0;
  }

  function advance(stream: Stream): void {
    const { response, tokens } = stream;
    const token = tokens[stream.next];
    if (token !== undefined) {
      writeEvent(response, { content: token }, null);
      stream.next += 1;
      counts.tokens += 1;
      warmth += 1;
    }
    if (counted(faults.silentAfterTokens)) {
      streams.delete(stream);
    } else if (counted(faults.breakAfterTokens)) {
      streams.delete(stream);
      response.end();
    } else if (stream.next >= tokens.length) {
      streams.delete(stream);
      writeEvent(response, {}, 'stop');
      response.end('data: [DONE]\n\n');
    }
  }

  function step(): void {
    const now = performance.now();
    for (const stream of streams) {
      if (stream.readyAt <= now) advance(stream);
    }
    setTimeout(step, stepTime());
  }

  function stepTime(): number {
    const cold = isWarm() ? 1 : COLD_SLOWDOWN;
    const batch = 1 + BATCH_SLOWDOWN * streams.size;
    return options.stepMilliseconds * cold * batch * faults.slowFactor;
  }

  step();
  setInterval(() => {
    report = { bootId, warm: isWarm(), running: streams.size };
  }, options.reportLagMilliseconds);

  await listen(options.host, options.port, async (request, response) => {
    const name = `${request.method} ${request.url}`;
    switch (name) {
      case 'POST /v1/chat/completions':
        await complete(request, response);
        break;
      case 'GET /load':
        reply(response, 200, report);
        break;
      case 'GET /counts':
        reply(response, 200, { ...counts, running: streams.size });
        break;
      case 'POST /faults':
        faults = { ...faults, ...((await readJson(request)) as Partial<EngineFaults>) };
        reply(response, 200, faults);
        break;
      case 'POST /chill':
        warmth = 0;
        cache.clear();
        reply(response, 200, {});
        break;
      default:
        reply(response, 404, { error: 'not found' });
    }
  });
}
