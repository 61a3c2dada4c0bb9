/**
 * Which sidecars of one service have lived lately. A row at the table lists them; each adds
 * itself before it takes its first call. While the table is down, an entry asks all of them
 * whether they have seen a key: only if every life that could have run it says no is "not
 * run" proved.
 */
import { randomUUID } from 'node:crypto';

import type { SidecarSettings } from '@lapisbridge/config';
import type { Random, Service } from '@lapisbridge/kernel';
import { writeConditionally, WriteOutcome } from '@lapisbridge/platform';
import type { Table } from '@lapisbridge/platform';
import { BackendServerKind } from '@lapisbridge/types';

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
async function readLives(
  table: Table,
  environment: string,
  service: string,
): Promise<readonly string[]> {
  const row = await table.read(livesKey(environment, service));
  return ((row?.value ?? []) as SidecarLife[]).map((known) => known.life);
}

/** Adds a life and returns the names of all known ones; undefined while the table is away. */
async function registerLife(
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

const REGISTER_MILLISECONDS = 500;
const REFRESH_MILLISECONDS = 2000;

export interface Lives extends Service {
  /** Name of this life. */
  readonly own: string;
  /** All lives that are registered, as last read; undefined until this one is. */
  known(): readonly string[] | undefined;
}

export interface LivesOptions {
  readonly table: Table;
  readonly settings: SidecarSettings;
  readonly random: Random;
}

/** Registers this life and keeps reading the others; only plain services need it. */
export function createLives({ table, settings, random }: LivesOptions): Lives {
  const { backendServer, environment, instanceId } = settings;
  const own = `${instanceId}/${randomUUID()}`;
  let known: readonly string[] | undefined;
  let timer: NodeJS.Timeout | undefined;

  async function look(service: string): Promise<void> {
    if (known === undefined) known = await registerLife(table, environment, service, own);
    // Sidecars that start later and die before an outage must be known to the others too.
    else known = await readLives(table, environment, service).catch(() => known);
    const pause = known === undefined ? REGISTER_MILLISECONDS : REFRESH_MILLISECONDS;
    timer = setTimeout(() => void look(service), pause * (0.5 + random()));
  }

  return {
    own,
    known: () => known,
    async start() {
      if (backendServer.kind === BackendServerKind.PlainService) await look(backendServer.service);
    },
    stop() {
      clearTimeout(timer);
    },
  };
}
