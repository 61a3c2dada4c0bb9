/**
 * Encoding of what entries state of client accounts' demand: one array for each service, with the
 * accounts and their rates in turn. What does not decode is ignored.
 */
import { DemandScope } from '@lapisbridge/load-shedding';
import type { DemandStatement } from '@lapisbridge/load-shedding';

/** Demand as a digest carries it. */
export interface StatedDemand {
  readonly scope: DemandScope;
  readonly statements: readonly DemandStatement[];
}

const SCOPES: readonly string[] = Object.values(DemandScope);
/** Accounts in one digest, over all services. */
export const MAXIMUM_STATED_ACCOUNTS = 24;
/** Keeps what a follower receives within 4 KB a second. */
export const MAXIMUM_ACCOUNTS_FOR_FOLLOWERS = 16;
const MAXIMUM_SERVICES = 16;
const MAXIMUM_NAME_LENGTH = 128;
const RATE_DIGITS = 3;

function roundRate(requestsPerSecond: number): number {
  return Number(requestsPerSecond.toPrecision(RATE_DIGITS));
}

export function encodeDemand({ scope, statements }: StatedDemand): unknown {
  const encoded: unknown[] = [scope];
  for (const statement of statements) {
    const { service, contentionAgeMilliseconds, otherAccounts, otherRequestsPerSecond } = statement;
    const accounts: (string | number)[] = [];
    for (const [account, rate] of statement.requestsPerSecond) {
      if (account.length <= MAXIMUM_NAME_LENGTH) accounts.push(account, roundRate(rate));
    }
    const age = Math.round(contentionAgeMilliseconds);
    encoded.push([service, age, otherAccounts, roundRate(otherRequestsPerSecond), ...accounts]);
  }
  return encoded;
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0;
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAXIMUM_NAME_LENGTH;
}

function decodeStatement(value: unknown): DemandStatement | undefined {
  if (!Array.isArray(value)) return undefined;
  const [service, age, otherAccounts, otherRate, ...accounts] = value as unknown[];
  if (!isName(service) || !isCount(age)) return undefined;
  if (!isCount(otherAccounts) || !isCount(otherRate)) return undefined;
  if (accounts.length > 2 * MAXIMUM_STATED_ACCOUNTS) return undefined;
  const requestsPerSecond = new Map<string, number>();
  for (let index = 0; index < accounts.length; index += 2) {
    const account = accounts[index];
    const rate = accounts[index + 1];
    if (!isName(account) || !isCount(rate)) return undefined;
    requestsPerSecond.set(account, rate);
  }
  return {
    service,
    contentionAgeMilliseconds: age,
    requestsPerSecond,
    otherRequestsPerSecond: otherRate,
    otherAccounts,
  };
}

export function decodeDemand(value: unknown): StatedDemand | undefined {
  if (!Array.isArray(value)) return undefined;
  const [scope, ...rows] = value as unknown[];
  if (typeof scope !== 'string' || !SCOPES.includes(scope)) return undefined;
  const statements: DemandStatement[] = [];
  for (const row of rows.slice(0, MAXIMUM_SERVICES)) {
    const statement = decodeStatement(row);
    if (statement !== undefined) statements.push(statement);
  }
  return { scope: scope as DemandScope, statements };
}
