/**
 * Reads accepted documents and changes.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { Instance } from '@lapisbridge/instance';
import type { StoredChange } from '@lapisbridge/shared-state';

import { storeUnavailable } from './store-unavailable.js';

export interface ChangeSummary {
  readonly version: number;
  readonly changeId: string;
  readonly author: string;
  readonly acceptedAt: string;
}

export interface DocumentText {
  readonly version: number;
  readonly text: string;
}

function summarize({ version, document }: StoredChange): ChangeSummary {
  const { changeId, author, acceptedAt } = document;
  return { version, changeId, author, acceptedAt };
}

export async function readChange(
  { store, self }: Instance,
  changeId: string,
): Promise<ChangeSummary> {
  const change = await store.readChange(self.environment, changeId).catch(() => {
    throw storeUnavailable();
  });
  if (change !== null) return summarize(change);
  throw new LapisError(ResultCode.UnknownChange, `no change ${changeId} was accepted`);
}

export async function readHistory({ store, self }: Instance): Promise<readonly ChangeSummary[]> {
  const changes = await store.history(self.environment).catch(() => {
    throw storeUnavailable();
  });
  return changes.map(summarize);
}

/** The document in force here, or an earlier version from the table. */
export async function readDocument(
  { store, self, state }: Instance,
  wanted: string | null,
): Promise<DocumentText> {
  if (wanted === null) {
    return { version: state.configuration?.version ?? 0, text: state.documentText };
  }
  const change = await store.readVersion(self.environment, Number(wanted)).catch(() => {
    throw storeUnavailable();
  });
  if (change !== null) return { version: change.version, text: change.document.text };
  throw new LapisError(ResultCode.UnknownTarget, `there is no version ${wanted}`);
}
