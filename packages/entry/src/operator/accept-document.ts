/**
 * Accepts a document on top of the version its operator looked at, and takes documents over
 * from other environments.
 */
import { randomUUID } from 'node:crypto';

import { checkDocument, diffDocuments } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { Instance } from '@lapisbridge/instance';
import { ApplyOutcome } from '@lapisbridge/shared-state';
import type { ApplyResult } from '@lapisbridge/shared-state';
import { Ran } from '@lapisbridge/types';

import { storeUnavailable } from './store-unavailable.js';

export interface Submission {
  readonly base: number;
  readonly text: string;
  readonly author: string;
  /** Given again after an unknown outcome, so that the change cannot apply twice. */
  readonly changeId: string | undefined;
}

export interface Accepted {
  readonly version: number;
  readonly changeId: string;
}

export interface Promotion {
  readonly from: string;
  readonly version: number;
  readonly base: number;
  readonly author: string;
}

/** A document with its defaults filled in, so that only true changes count as differences. */
function normalize(text: string): unknown {
  return text === '' ? {} : checkDocument(text).unsafeCoerce();
}

/** Says who changed what since the version the operator looked at. */
function conflictError(base: number, result: ApplyResult, baseText: string): LapisError {
  const { current: standing } = result;
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

function requireValid(text: string, environment: string): void {
  const document = checkDocument(text)
    .ifLeft((error) => {
      throw error;
    })
    .unsafeCoerce();
  if (document.name === environment) return;
  const message = `the document is for ${document.name}, this entry serves ${environment}`;
  const problems = [{ path: '$.name', message }];
  throw new LapisError(ResultCode.DocumentInvalid, message, { problems });
}

export async function acceptDocument(
  instance: Instance,
  { base, text, author, changeId: givenChangeId }: Submission,
): Promise<Accepted> {
  const { state, store, self, logger } = instance;
  requireValid(text, self.environment);
  const changeId = givenChangeId ?? randomUUID();
  const acceptedAt = new Date().toISOString();
  const result = await store.apply(self.environment, base, { changeId, author, acceptedAt, text });
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

export async function promoteDocument(
  instance: Instance,
  { from, version, base, author }: Promotion,
): Promise<Accepted> {
  const source = await instance.store.readVersion(from, version).catch(() => {
    throw storeUnavailable();
  });
  if (source === null) {
    throw new LapisError(ResultCode.UnknownTarget, `${from} has no version ${version}`);
  }
  const document = JSON.parse(source.document.text) as Record<string, unknown>;
  const text = JSON.stringify({ ...document, name: instance.self.environment }, null, 2);
  return acceptDocument(instance, { base, text, author, changeId: undefined });
}
