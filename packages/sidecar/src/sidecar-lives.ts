/**
 * Which sidecars of one service have lived lately. A row at the table lists them; each adds
 * itself before it takes its first call. While the table is down, an entry asks all of them
 * whether they have seen a key: only if every life that could have run it says no is "not
 * run" proved.
 */
import { writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { Table } from '@lapisbridge/platform';

export interface SidecarLife {
  readonly life: string;
  /** Wall-clock milliseconds; only used to drop lives that are long past. */
  readonly startedAt: number;
}

/** A caller that repeats a key later than this gets `unknown` during an outage at worst. */
const KEPT_MILLISECONDS = 24 * 3600 * 1000;
const MAXIMUM_ROUNDS = 16;

function livesKey(environment: string, service: string): string {
  return `lives/${environment}/${service}`;
}

/** Reads the names of all lives that are registered now. */
export async function readLives(
  table: Table,
  environment: string,
  service: string,
): Promise<readonly string[]> {
  const row = await table.read(livesKey(environment, service));
  return ((row?.value ?? []) as SidecarLife[]).map((known) => known.life);
}

/** Adds a life and returns the names of all known ones; undefined while the table is away. */
export async function registerLife(
  table: Table,
  environment: string,
  service: string,
  life: string,
): Promise<readonly string[] | undefined> {
  const key = livesKey(environment, service);
  for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
    const row = await table.read(key).catch(() => undefined);
    if (row === undefined) return undefined;
    const now = Date.now();
    const recent = ((row?.value ?? []) as SidecarLife[]).filter(
      (known) => now - known.startedAt < KEPT_MILLISECONDS && known.life !== life,
    );
    const lives = [...recent, { life, startedAt: now }];
    const written = await writeConditionally(table, {
      key,
      value: lives,
      expectedVersion: row?.version ?? 0,
      isOwn: (value) => (value as SidecarLife[]).some((known) => known.life === life),
    });
    if (written.outcome === WriteOutcome.Applied) return lives.map((known) => known.life);
    if (written.outcome === WriteOutcome.Unknown) return undefined;
  }
  return undefined;
}
