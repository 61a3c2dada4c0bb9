/**
 * `POST /v1/chat/completions`
 */
import { parseEventId } from '@lapisbridge/answers';
import type { EventId } from '@lapisbridge/answers';
import type { EnvironmentDocument, ModelPolicy } from '@lapisbridge/config';
import { LapisError, ResultCode, toLapisError } from '@lapisbridge/errors';

import { LatencyKind } from '@lapisbridge/metrics';
import type { Metrics } from '@lapisbridge/metrics';
import { createEventSink, createJsonSink } from '../answer-sink.js';
import { createDeadline, parseTimeout } from '../deadline.js';
import { serveDraft } from '../draft.js';
import { parseDraft } from '../draft-request.js';
import { readBody } from '../read-body.js';
import { headerOf, requireDocument, whenGone } from './caller-options.js';
import type { CallerOptions, Exchange } from './caller-options.js';

function parseResume(header: string | undefined): EventId | undefined {
  if (header === undefined) return undefined;
  const id = parseEventId(header);
  if (id !== undefined) return id;
  throw new LapisError(ResultCode.BadRequest, 'Last-Event-ID is not one of ours');
}

function requireModel(document: EnvironmentDocument, wanted: string): ModelPolicy {
  const model = document.models.find(({ name }) => name === wanted);
  if (model !== undefined) return model;
  throw new LapisError(ResultCode.UnknownModel, `no model is named ${wanted}`);
}

/** Observes the first text only. */
function firstTextObserver(metrics: Metrics, startedAt: number): () => void {
  let first = true;
  return () => {
    if (!first) return;
    first = false;
    metrics.observe(LatencyKind.FirstToken, performance.now() - startedAt);
  };
}

export async function handleDraft(options: CallerOptions, exchange: Exchange): Promise<void> {
  const { instance, guard, accounts, metrics, inFlight, context, stopDeadline } = options;
  const { request, response, requestId } = exchange;
  const document = requireDocument(instance);
  const account = await accounts.authenticate(headerOf(request, 'authorization'));
  const timeout = parseTimeout(headerOf(request, 'lapisbridge-timeout-ms'), document.limits);
  const deadline = createDeadline(timeout);
  const body = parseDraft(
    await readBody(guard, request, response, {
      maximumBytes: document.limits.maximumBodyBytes,
      maximumMilliseconds: timeout,
    }),
  );
  const model = requireModel(document, body.model);
  stopDeadline.requireTime(deadline.remaining());
  const resumeFrom = parseResume(headerOf(request, 'last-event-id'));
  const id = resumeFrom?.requestId ?? requestId;
  const startedAt = performance.now();
  const streamed = body.stream === true;
  const sinkOptions = { response, requestId: id, model: model.name };
  const sink = streamed ? createEventSink(sinkOptions) : createJsonSink(sinkOptions);
  const tokens = body.max_tokens ?? model.defaultAnswerTokens;
  const release = inFlight.enter(account, tokens, document.limits);
  try {
    await serveDraft(context, {
      requestId: id,
      account: account.name,
      body,
      document,
      model,
      deadline,
      sink,
      callerGone: whenGone(response),
      resumable: streamed,
      resumeFrom,
      onFirstText: firstTextObserver(metrics, startedAt),
    });
    metrics.countRequest('draft', ResultCode.Accepted);
    metrics.observe(LatencyKind.Draft, performance.now() - startedAt);
  } catch (thrown) {
    const error = toLapisError(thrown);
    metrics.countRequest('draft', error.code);
    instance.logger.info('draft not answered', { requestId: id, code: error.code });
    sink.fail(error);
  } finally {
    release();
  }
}
