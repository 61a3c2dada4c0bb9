/**
 * Finds the client account behind a bearer key. Documents hold only SHA-256 hashes of keys.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

import type { ClientAccount } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { SharedState, StateStore } from '@lapisbridge/shared-state';

const BEARER = /^Bearer +(\S+)$/i;
/** How long the key hashes of other environments are remembered. */
const FOREIGN_MILLISECONDS = 30_000;

export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

export function bearerKey(authorization: string | undefined): string | undefined {
  return BEARER.exec(authorization ?? '')?.[1];
}

/** Compares in constant time, so that the time of a refusal tells nothing about the hash. */
export function matchesHash(key: string, hash: string): boolean {
  return timingSafeEqual(Buffer.from(hashKey(key), 'hex'), Buffer.from(hash, 'hex'));
}

export interface Accounts {
  /** The account of a request; rejects with `UnknownAccount` or `WrongEnvironment`. */
  authenticate(authorization: string | undefined): Promise<ClientAccount>;
}

export function createAccounts(
  environment: string,
  state: SharedState,
  store: StateStore,
): Accounts {
  let byHash = new Map<string, ClientAccount>();
  let indexedVersion = 0;
  let foreign = new Set<string>();
  let foreignReadAt = -Infinity;

  function index(): void {
    const { configuration } = state;
    if (configuration === undefined || configuration.version === indexedVersion) return;
    indexedVersion = configuration.version;
    byHash = new Map();
    for (const account of configuration.document.accounts) {
      for (const hash of account.keyHashes) byHash.set(hash, account);
    }
  }

  /** Read seldom, and only for unknown keys, so that guessing keys does not load the table. */
  async function isForeign(hash: string): Promise<boolean> {
    const now = performance.now();
    if (now - foreignReadAt > FOREIGN_MILLISECONDS) {
      foreignReadAt = now;
      const documents = await store.readAllDocuments().catch(() => undefined);
      if (documents !== undefined) foreign = foreignHashes(documents);
    }
    return foreign.has(hash);
  }

  function foreignHashes(
    documents: Awaited<ReturnType<StateStore['readAllDocuments']>>,
  ): Set<string> {
    const hashes = new Set<string>();
    for (const [name, change] of documents) {
      if (name === environment) continue;
      const { accounts = [] } = JSON.parse(change.document.text) as {
        accounts?: { keyHashes: string[] }[];
      };
      for (const account of accounts) {
        for (const hash of account.keyHashes) hashes.add(hash);
      }
    }
    return hashes;
  }

  return {
    async authenticate(authorization) {
      index();
      const key = bearerKey(authorization);
      if (key === undefined) {
        throw new LapisError(ResultCode.UnknownAccount, 'no bearer key was sent');
      }
      const hash = hashKey(key);
      const account = byHash.get(hash);
      if (account !== undefined) return account;
      if (await isForeign(hash)) {
        throw new LapisError(ResultCode.WrongEnvironment, `not an account of ${environment}`);
      }
      throw new LapisError(ResultCode.UnknownAccount, 'no account has this key');
    },
  };
}
