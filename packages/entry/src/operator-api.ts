/**
 * The operators' HTTP: documents, drain orders, status and explanations. Bodies are JSON;
 * the command line is its usual client.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { checkDocument, diffDocuments } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { askPeer } from '@lapisbridge/instance';
import type { Instance } from '@lapisbridge/instance';
import { ApplyOutcome, nextCounter, orderKey } from '@lapisbridge/shared-state';
import type { ApplyResult, DrainOrder, StoredChange } from '@lapisbridge/shared-state';
import { DrainTargetKind, InstanceState, Ran, Role, ServiceState } from '@lapisbridge/types';
import type { InstanceRecord } from '@lapisbridge/types';
import { MessageKind } from '@lapisbridge/wire';
import type { ExplainReply } from '@lapisbridge/wire';
import { z } from 'zod';

import { bearerKey, matchesHash } from './accounts.js';
import { parseJsonBody } from './draft-request.js';
import { planDrainCheck } from './plan-drain-check.js';
import type { LoadedServer } from './plan-drain-check.js';
import { readBody } from './read-body.js';
import { sendJson, sendProblem } from './reply.js';

export interface OperatorApiOptions {
  readonly instance: Instance;
  readonly operatorTokenHash: string;
  servers(): readonly LoadedServer[];
  isReady(): boolean;
}

const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
const MAXIMUM_ASKED_ENTRIES = 16;

const applyBody = z.strictObject({
  base: z.int().min(0),
  text: z.string(),
  author: z.string().min(1).max(128).default('operator'),
  changeId: z.uuid().optional(),
});

const promoteBody = z.strictObject({
  from: z.string().min(1),
  version: z.int().min(1),
  base: z.int().min(0),
  author: z.string().min(1).max(128).default('operator'),
});

const orderBody = z.strictObject({
  targetKind: z.enum(DrainTargetKind),
  target: z.string().min(1),
  state: z.enum(ServiceState),
  force: z.boolean().default(false),
});

function parseBody<T>(schema: z.ZodType<T>, bytes: Buffer): T {
  const parsed = schema.safeParse(parseJsonBody(bytes));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) => ({
    path: ['$', ...issue.path.map(String)].join('.'),
    message: issue.message,
  }));
  throw new LapisError(ResultCode.BadRequest, 'the order is not valid', { problems });
}

function storeUnavailable(): LapisError {
  return new LapisError(ResultCode.StoreUnavailable, 'the platform’s table does not answer');
}

/** A document with its defaults filled in, so that only true changes count as differences. */
function normalize(text: string): unknown {
  return text === '' ? {} : checkDocument(text).unsafeCoerce();
}

/** Says who changed what since the version the operator looked at. */
function conflictError(base: number, result: ApplyResult, baseText: string): LapisError {
  const { standing } = result;
  if (standing === undefined) {
    return new LapisError(ResultCode.VersionConflict, `there is no version ${base} to build on`);
  }
  const differences = diffDocuments(normalize(baseText), normalize(standing.document.text));
  const { author, acceptedAt, changeId } = standing.document;
  return new LapisError(
    ResultCode.VersionConflict,
    `version ${standing.version} of ${author}, ${acceptedAt}, change ${changeId}, came before`,
    {
      problems: differences.map(({ path, kind }) => ({ path, message: `${kind} by ${author}` })),
    },
  );
}

export function createOperatorApi(
  options: OperatorApiOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { instance } = options;
  const { state, store, self, logger, membership } = instance;

  async function accept(
    base: number,
    text: string,
    author: string,
    givenChangeId: string | undefined,
  ): Promise<{ version: number; changeId: string }> {
    const document = checkDocument(text)
      .ifLeft((error) => {
        throw error;
      })
      .unsafeCoerce();
    if (document.name !== self.environment) {
      const message = `the document is for ${document.name}, this entry serves ${self.environment}`;
      const problems = [{ path: '$.name', message }];
      throw new LapisError(ResultCode.DocumentInvalid, message, { problems });
    }
    const changeId = givenChangeId ?? randomUUID();
    const acceptedAt = new Date().toISOString();
    const stored = { changeId, author, acceptedAt, text };
    const result = await store.apply(self.environment, base, stored);
    logger.decision({
      kind: 'accept',
      subject: changeId,
      choice: result.outcome,
      reason: `${author} on version ${base}`,
    });
    switch (result.outcome) {
      case ApplyOutcome.Accepted:
        state.adopt(result.version, changeId, text);
        return { version: result.version, changeId };
      case ApplyOutcome.Conflict: {
        const before = base === 0 ? null : await store.readVersion(self.environment, base);
        throw conflictError(base, result, before?.document.text ?? '');
      }
      case ApplyOutcome.Unknown:
        throw new LapisError(
          ResultCode.ChangeUnknown,
          `not known whether change ${changeId} took effect`,
          { ran: Ran.Unknown },
        );
      default: {
        const unreachable: never = result.outcome;
        throw new Error(String(unreachable));
      }
    }
  }

  async function applyDocument(bytes: Buffer): Promise<unknown> {
    const { base, text, author, changeId } = parseBody(applyBody, bytes);
    return accept(base, text, author, changeId);
  }

  async function promote(bytes: Buffer): Promise<unknown> {
    const { from, version, base, author } = parseBody(promoteBody, bytes);
    const source = await store.readVersion(from, version).catch(() => {
      throw storeUnavailable();
    });
    if (source === null) {
      throw new LapisError(ResultCode.UnknownTarget, `${from} has no version ${version}`);
    }
    const document = JSON.parse(source.document.text) as Record<string, unknown>;
    const text = JSON.stringify({ ...document, name: self.environment }, null, 2);
    return accept(base, text, author, undefined);
  }

  function requireTarget(targetKind: DrainTargetKind, target: string): void {
    const zones = state.configuration?.document.availabilityZones ?? [];
    const known =
      targetKind === DrainTargetKind.AvailabilityZone
        ? zones.some(({ name }) => name === target)
        : target === self.instanceId || membership.member(target) !== undefined;
    if (known) return;
    throw new LapisError(ResultCode.UnknownTarget, `no ${targetKind} is named ${target}`);
  }

  function isTarget(record: InstanceRecord, kind: DrainTargetKind, target: string): boolean {
    switch (kind) {
      case DrainTargetKind.AvailabilityZone:
        return record.availabilityZone === target;
      case DrainTargetKind.Instance:
        return record.instanceId === target;
      default: {
        const unreachable: never = kind;
        return unreachable;
      }
    }
  }

  async function order(bytes: Buffer): Promise<unknown> {
    const body = parseBody(orderBody, bytes);
    requireTarget(body.targetKind, body.target);
    if (body.state === ServiceState.Drained && !body.force) {
      const shortfalls = planDrainCheck(options.servers(), (record) =>
        isTarget(record, body.targetKind, body.target),
      );
      if (shortfalls.length > 0) {
        const problems = shortfalls.map(({ name, needed, left }) => ({
          path: name,
          message: `${needed} in progress, room for ${left} elsewhere`,
        }));
        throw new LapisError(ResultCode.CapacityShort, 'the rest could not carry it', { problems });
      }
    }
    const { targetKind, target } = body;
    // Orders that other entries have taken may not have arrived here yet. Without them this order
    // could get a counter that loses to an older one, although its operator was told it is in force.
    await instance.sync.poll();
    const given: DrainOrder = {
      targetKind,
      target,
      state: body.state,
      counter: nextCounter(state.orders, Date.now()),
      author: self.instanceId,
    };
    // In force here at once; the table comes second, since operators need drains most when
    // the table is down. Until it is written, the order lives in the instances' memory only.
    state.mergeOrders({ [orderKey(given)]: given });
    const durable = await store.writeOrders(self.environment, state.orders);
    return { ...given, durable };
  }

  function describeMembers(): unknown[] {
    const servers = new Map(options.servers().map((server) => [server.record.instanceId, server]));
    const rows: unknown[] = [
      {
        instanceId: self.instanceId,
        role: self.role,
        availabilityZone: self.availabilityZone,
        state: options.isReady() ? 'ready' : 'not ready',
        version: state.configuration?.version ?? 0,
        drained: state.isDrained(self.instanceId, self.availabilityZone),
      },
    ];
    for (const { record, state: memberState, version } of membership.members()) {
      const load = servers.get(record.instanceId)?.load;
      rows.push({
        instanceId: record.instanceId,
        role: record.role,
        availabilityZone: record.availabilityZone,
        state: memberState,
        version,
        drained: state.isDrained(record.instanceId, record.availabilityZone),
        ...(record.backendServer === undefined ? {} : { serves: record.backendServer.names }),
        ...(load === undefined ? {} : { load }),
      });
    }
    return rows;
  }

  function status(): unknown {
    return {
      environment: self.environment,
      answeredBy: self.instanceId,
      version: state.configuration?.version ?? 0,
      changeId: state.configuration?.changeId ?? '',
      orders: Object.values(state.orders),
      instances: describeMembers(),
    };
  }

  function otherEntries(): InstanceRecord[] {
    const entries: InstanceRecord[] = [];
    for (const member of membership.members()) {
      if (member.record.role === Role.Entry && member.state === InstanceState.Live) {
        entries.push(member.record);
      }
    }
    return entries.slice(0, MAXIMUM_ASKED_ENTRIES);
  }

  async function explain(subject: string): Promise<unknown> {
    const own = logger.decisionsAbout(subject);
    if (own.length > 0) return { subject, entry: self.instanceId, decisions: own };
    for (const peer of otherEntries()) {
      const question = { kind: MessageKind.ExplainRequest, subject } as const;
      const reply = await askPeer<ExplainReply>(
        peer,
        instance.hello(),
        question,
        MessageKind.ExplainReply,
      ).catch(() => undefined);
      const decisions = JSON.parse(reply?.decisions ?? '[]') as unknown[];
      if (decisions.length > 0) return { subject, entry: peer.instanceId, decisions };
    }
    throw new LapisError(ResultCode.UnknownRequest, `no decision about ${subject} is remembered`);
  }

  function describeChange({ version, document }: StoredChange): unknown {
    const { changeId, author, acceptedAt } = document;
    return { version, changeId, author, acceptedAt };
  }

  async function showChange(changeId: string): Promise<unknown> {
    const change = await store.readChange(self.environment, changeId).catch(() => {
      throw storeUnavailable();
    });
    if (change !== null) return describeChange(change);
    throw new LapisError(ResultCode.UnknownChange, `no change ${changeId} was accepted`);
  }

  async function showDocument(url: URL): Promise<unknown> {
    const wanted = url.searchParams.get('version');
    if (wanted === null) {
      return { version: state.configuration?.version ?? 0, text: state.documentText };
    }
    const change = await store.readVersion(self.environment, Number(wanted)).catch(() => {
      throw storeUnavailable();
    });
    if (change !== null) return { version: change.version, text: change.document.text };
    throw new LapisError(ResultCode.UnknownTarget, `there is no version ${wanted}`);
  }

  async function history(): Promise<unknown> {
    const changes = await store.history(self.environment).catch(() => {
      throw storeUnavailable();
    });
    return { changes: changes.map(describeChange) };
  }

  function authenticate(request: IncomingMessage): void {
    const token = bearerKey(request.headers.authorization);
    if (token !== undefined && matchesHash(token, options.operatorTokenHash)) return;
    throw new LapisError(ResultCode.OperatorUnknown, 'the operator token is missing or wrong');
  }

  async function route(request: IncomingMessage): Promise<unknown> {
    authenticate(request);
    const url = new URL(request.url ?? '/', 'http://entry');
    const name = `${request.method} ${url.pathname}`;
    const body = await readBody(request, MAXIMUM_BODY_BYTES);
    switch (name) {
      case 'GET /v1/status':
        return status();
      case 'GET /v1/document':
        return showDocument(url);
      case 'POST /v1/document':
        return applyDocument(body);
      case 'GET /v1/history':
        return history();
      case 'POST /v1/promote':
        return promote(body);
      case 'POST /v1/orders':
        return order(body);
      default:
        break;
    }
    const [, , collection, subject = ''] = url.pathname.split('/');
    if (collection === 'explain') return explain(decodeURIComponent(subject));
    if (collection === 'changes') return showChange(decodeURIComponent(subject));
    throw new LapisError(ResultCode.UnknownOperation, `nothing is served at ${name}`);
  }

  return async (request, response) => {
    try {
      sendJson(response, 200, await route(request));
    } catch (thrown) {
      if (!(thrown instanceof LapisError)) {
        logger.error('operator request failed', { reason: String(thrown) });
      }
      const error =
        thrown instanceof LapisError
          ? thrown
          : new LapisError(ResultCode.StoreUnavailable, 'the request could not be carried out');
      sendProblem(response, error);
    }
  };
}
