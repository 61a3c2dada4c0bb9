/**
 * Settings of one process: who it is, where it listens, which platform it uses. Policy
 * stands in the environment document, so that operators change it without a restart.
 */
import { BackendServerKind, Role } from '@lapisbridge/types';
import { z } from 'zod';

const MAXIMUM_PORT = 65535;
/** An entry needs part of its grace time for the balancer to notice that it stops. */
const MINIMUM_GRACE_MILLISECONDS = 3000;
const MAXIMUM_GRACE_MILLISECONDS = 3_600_000;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  message: 'must be 1 to 63 letters, digits, dots, dashes or underscores',
});
const port = z.int().min(1).max(MAXIMUM_PORT);
const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const url = z.url({ protocol: /^https?$/ });
const sha256Hex = z
  .string()
  .regex(/^[0-9a-f]{64}$/, { message: 'must be a SHA-256 hash in lower-case hex' });

/** Size of the machine, from which the limits on clients follow; detected where it is left out. */
const machine = z.strictObject({
  memoryMegabytes: z.int().min(64).max(1_048_576).optional(),
  maximumDescriptors: z.int().min(256).max(10_000_000).optional(),
});

const common = {
  environment: name,
  instanceId: name,
  availabilityZone: name,
  platform: z.strictObject({
    url,
    /** Milliseconds one call to the platform may take. */
    timeoutMilliseconds: z.int().min(10).max(60_000).default(1000),
  }),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  logFormat: z.enum(['json', 'pretty']).default('json'),
  machine: machine.optional(),
};

const transportSecurity = z.strictObject({
  certificateFile: z.string().min(1),
  keyFile: z.string().min(1),
});

const entrySettings = z.strictObject({
  role: z.literal(Role.Entry),
  ...common,
  listen: z.strictObject({
    host: ipAddress,
    callerPort: port,
    operatorPort: port,
    peerPort: port,
  }),
  operatorTokenHash: sha256Hex,
  /** Time from SIGTERM to the end of the process; without it requests in progress bound the stop. */
  graceMilliseconds: z
    .int()
    .min(MINIMUM_GRACE_MILLISECONDS)
    .max(MAXIMUM_GRACE_MILLISECONDS)
    .optional(),
  transportSecurity: transportSecurity.optional(),
});

const rankPlace = z
  .strictObject({
    group: name,
    rank: z.int().min(0),
    size: z.int().min(1).max(1024),
  })
  .refine((place) => place.rank < place.size, { message: 'rank must be below size' });

const backendServer = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(BackendServerKind.ModelRunner),
    models: z.array(name).min(1),
    url,
    rankPlace: rankPlace.optional(),
  }),
  z.strictObject({
    kind: z.literal(BackendServerKind.PlainService),
    service: name,
    url,
  }),
]);

const sidecarSettings = z.strictObject({
  role: z.literal(Role.Sidecar),
  ...common,
  listen: z.strictObject({ host: ipAddress, peerPort: port }),
  backendServer,
});

export const settingsSchema = z.discriminatedUnion('role', [entrySettings, sidecarSettings]);

export type Settings = z.infer<typeof settingsSchema>;
export type EntrySettings = z.infer<typeof entrySettings>;
export type SidecarSettings = z.infer<typeof sidecarSettings>;
export type BackendServerSettings = SidecarSettings['backendServer'];
