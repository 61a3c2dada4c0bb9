/**
 * Forwarding of prepare orders: the leader sends an order once to an entry of each availability
 * zone, which forwards it to the sidecars of its zone. A map for more than a hundred ranks takes
 * several kilobytes per rank. Sent to each rank by the leader alone, they saturate its narrow link
 * for seconds; its heartbeats are not sent, and another rank takes over before any map becomes
 * active.
 */
import type { Agent } from 'node:http';

import { callJson, isObject, listOf, numberOf } from '@lapisbridge/json-call';
import type { JsonObject } from '@lapisbridge/json-call';
import { OrderOutcome } from '@lapisbridge/placement';

import { RelayPath } from './relay-path.js';

/** Timeout from the leader through the entry to the last sidecar of the zone. */
const BATCH_TIMEOUT_MILLISECONDS = 1000;
/** Timeout from the entry to one sidecar. */
const SIDECAR_TIMEOUT_MILLISECONDS = 700;
const OUTCOMES: readonly string[] = Object.values(OrderOutcome);

function decodeOutcome(value: unknown): OrderOutcome {
  return OUTCOMES.includes(String(value)) ? (value as OrderOutcome) : OrderOutcome.Unknown;
}

/**
 * Entry side: forwards the order to all hosts of the batch and returns `{ outcomes }`, keyed by
 * host. Returns an empty object when the body is not a batch.
 */
export async function forwardPrepare(body: JsonObject): Promise<JsonObject> {
  const { prepare } = body;
  const port = numberOf(body, 'sidecarPort');
  if (!isObject(prepare) || port === undefined) return {};
  const outcomes: Record<string, OrderOutcome> = {};
  const calls: Promise<void>[] = [];
  for (const host of listOf(body, 'hosts')) {
    if (typeof host !== 'string') continue;
    const call = callJson({
      host,
      port,
      method: 'POST',
      path: RelayPath.Prepare,
      body: prepare,
      timeoutMilliseconds: SIDECAR_TIMEOUT_MILLISECONDS,
    });
    calls.push(
      call.then(
        (answer) => {
          outcomes[host] = decodeOutcome(answer.body.outcome);
        },
        () => {
          outcomes[host] = OrderOutcome.Unknown;
        },
      ),
    );
  }
  await Promise.all(calls);
  return { outcomes };
}

export interface PrepareBatch {
  readonly hosts: readonly string[];
  readonly sidecarPort: number;
  readonly prepare: object;
}

/**
 * Leader side: sends a batch to an entry. Returns an outcome for every host of the batch. Rejects
 * when the entry does not answer in time.
 */
export async function requestPrepareForwarding(
  entry: { readonly host: string; readonly port: number },
  batch: PrepareBatch,
  agent: Agent,
): Promise<ReadonlyMap<string, OrderOutcome>> {
  const answer = await callJson({
    ...entry,
    method: 'POST',
    path: RelayPath.ForwardPrepare,
    body: batch,
    timeoutMilliseconds: BATCH_TIMEOUT_MILLISECONDS,
    agent,
  });
  const reported = isObject(answer.body.outcomes) ? answer.body.outcomes : {};
  const outcomes = new Map<string, OrderOutcome>();
  for (const host of batch.hosts) outcomes.set(host, decodeOutcome(reported[host]));
  return outcomes;
}
