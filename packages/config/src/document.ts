/**
 * The environment document: everything operators decide about one environment. Every
 * number has a unit in its name, a range and a default.
 */
import { ChoiceRule, OperationKind } from '@lapisbridge/types';
import { z } from 'zod';

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  message: 'must be 1 to 63 letters, digits, dots, dashes or underscores',
});
const sha256Hex = z
  .string()
  .regex(/^[0-9a-f]{64}$/, { message: 'must be a SHA-256 hash in lower-case hex' });

const account = z.strictObject({
  name,
  keyHashes: z.array(sha256Hex).min(1).max(8),
  /** Share of a contended backend server, relative to other accounts. */
  weight: z.int().min(1).max(100).default(1),
  /** Estimated tokens one entry lets this account have in progress. */
  maximumInFlightTokens: z.int().min(1).default(1_000_000),
});

const concurrency = {
  /** Requests a backend server takes at once while it is cold. */
  coldConcurrency: z.int().min(1).max(1024).default(2),
  /** Requests a backend server takes at once when it is warm. */
  maximumConcurrency: z.int().min(1).max(4096).default(32),
};

const model = z.strictObject({
  name,
  ...concurrency,
  /** Answer length assumed when the caller gives no max_tokens. */
  defaultAnswerTokens: z.int().min(1).max(100_000).default(256),
  /** Step time of a healthy warm engine, in milliseconds. */
  expectedStepMilliseconds: z.number().min(0.1).max(10_000).default(57),
  /** Order among models at the engine: smaller is served first. */
  priority: z.int().min(0).max(9).default(5),
});

const operation = z.strictObject({
  path: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/, { message: 'must start with / and be plain' }),
  kind: z.enum(OperationKind),
});

const service = z.strictObject({
  name,
  ...concurrency,
  /** Time of a healthy call, in milliseconds. */
  expectedCallMilliseconds: z.number().min(0.1).max(600_000).default(500),
  operations: z.array(operation).min(1),
});

const limits = z
  .strictObject({
    maximumBodyBytes: z.int().min(1024).max(16_777_216).default(1_048_576),
    maximumAnswerBytes: z.int().min(1024).max(16_777_216).default(4_194_304),
    defaultTimeoutMilliseconds: z.int().min(100).max(3_600_000).default(60_000),
    maximumTimeoutMilliseconds: z.int().min(100).max(3_600_000).default(600_000),
    /** Longest wait in a sidecar's queue. */
    queueMilliseconds: z.int().min(0).max(60_000).default(2000),
    maximumQueuedRequests: z.int().min(0).max(10_000).default(64),
    /** Extra attempts as a share of first attempts. */
    retryBudgetRatio: z.number().min(0).max(1).default(0.1),
    retryAfterMilliseconds: z.int().min(100).max(600_000).default(1000),
    /** Silence of an engine within an answer after which it counts as lost. */
    engineSilenceMilliseconds: z.int().min(50).max(600_000).default(5000),
    /** How long a sidecar keeps a finished answer for resumption. */
    answerRetentionMilliseconds: z.int().min(0).max(600_000).default(30_000),
    /** How long a draft goes on after its entry was lost. */
    orphanMilliseconds: z.int().min(0).max(600_000).default(10_000),
  })
  .prefault({});

const routing = z
  .strictObject({
    choiceRule: z.enum(ChoiceRule).default(ChoiceRule.Estimated),
    /** Wait that a hop into another availability zone is worth. */
    hopCostMilliseconds: z.number().min(0).max(10_000).default(2),
    /** Take streamed answers from other zones than the entry's, so that no zone's loss takes both. */
    keepStreamsApart: z.boolean().default(true),
    /** Characters of leading prompt that are hashed for prefix affinity. */
    affinityCharacters: z.int().min(0).max(100_000).default(256),
    /** Affinity yields once the preferred server carries this multiple of the mean. */
    boundedLoadFactor: z.number().min(1).max(100).default(1.25),
    /** Backend servers looked at for one choice. */
    sampledChoices: z.int().min(1).max(64).default(4),
    /** Backend servers of one model or service an entry keeps connections to. */
    subsetSize: z.int().min(1).max(1024).default(24),
  })
  .prefault({});

const placement = z
  .strictObject({
    experts: z.int().min(1).max(4096).default(32),
    windowMilliseconds: z.int().min(10).max(600_000).default(5000),
    /** Steps over which a change must pay for itself. */
    horizonSteps: z.int().min(1).max(1_000_000).default(2000),
    maximumMoves: z.int().min(0).max(4096).default(4),
    smoothing: z.number().min(0.01).max(1).default(0.6),
    /** Relative gain below which a map is left alone. */
    minimumGain: z.number().min(0).max(1).default(0.03),
    /** Stall that moving one expert costs, in steps. */
    moveCostSteps: z.number().min(0).max(10_000).default(4),
    leaseMilliseconds: z.int().min(500).max(600_000).default(6000),
  })
  .prefault({});

/** Refuses a second element of the same name: the later one would silently win. */
function unique<T extends { readonly name: string }>(
  elements: readonly T[],
  context: z.core.$RefinementCtx<T[]>,
): void {
  const seen = new Set<string>();
  for (const [index, element] of elements.entries()) {
    if (seen.has(element.name)) {
      context.addIssue({
        code: 'custom',
        path: [index, 'name'],
        message: `${element.name} stands twice`,
        input: element.name,
      });
    }
    seen.add(element.name);
  }
}

export const documentSchema = z.strictObject({
  $schema: z.string().optional(),
  name,
  accounts: z.array(account).superRefine(unique),
  models: z.array(model).default([]).superRefine(unique),
  services: z.array(service).default([]).superRefine(unique),
  availabilityZones: z.array(z.strictObject({ name })).min(1).superRefine(unique),
  limits,
  routing,
  placement,
});

export type EnvironmentDocument = z.infer<typeof documentSchema>;
export type ClientAccount = EnvironmentDocument['accounts'][number];
export type ModelPolicy = EnvironmentDocument['models'][number];
export type ServicePolicy = EnvironmentDocument['services'][number];
export type Limits = EnvironmentDocument['limits'];
export type RoutingPolicy = EnvironmentDocument['routing'];
export type PlacementPolicy = EnvironmentDocument['placement'];
