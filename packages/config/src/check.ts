/**
 * Checks JSON text against a schema and reports every problem at once, each with its JSON
 * path, what is allowed, and the nearest known name for an unknown field.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { Problem } from '@lapisbridge/errors';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { z } from 'zod';

import { documentSchema } from './document.js';
import type { EnvironmentDocument } from './document.js';
import { nearestName } from './nearest-name.js';
import { settingsSchema } from './settings.js';
import type { Settings } from './settings.js';

function formatPath(path: readonly PropertyKey[]): string {
  let text = '$';
  for (const part of path) {
    text += typeof part === 'number' ? `[${part}]` : `.${String(part)}`;
  }
  return text;
}

interface JsonSchema {
  properties?: Record<string, JsonSchema>;
  items?: JsonSchema;
  oneOf?: JsonSchema[];
  anyOf?: JsonSchema[];
}

/** Field names the schema allows at a path; several alternatives are merged. */
function namesAt(schema: JsonSchema, path: readonly PropertyKey[]): string[] {
  const alternatives = [schema, ...(schema.oneOf ?? []), ...(schema.anyOf ?? [])];
  const [head, ...rest] = path;
  const names: string[] = [];
  for (const alternative of alternatives) {
    if (head === undefined) {
      names.push(...Object.keys(alternative.properties ?? {}));
    } else {
      const child =
        typeof head === 'number' ? alternative.items : alternative.properties?.[String(head)];
      if (child !== undefined) names.push(...namesAt(child, rest));
    }
  }
  return [...new Set(names)];
}

function describeUnknownField(
  schema: JsonSchema,
  path: readonly PropertyKey[],
  key: string,
): Problem {
  const allowed = namesAt(schema, path);
  const nearest = nearestName(key, allowed);
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return {
    path: formatPath([...path, key]),
    message: `unknown field; allowed: ${allowed.join(', ')}${hint}`,
  };
}

function toProblems(schema: z.ZodType, error: z.ZodError): Problem[] {
  const problems: Problem[] = [];
  const jsonSchema = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as JsonSchema;
  for (const issue of error.issues) {
    if (issue.code === 'unrecognized_keys') {
      for (const key of issue.keys) {
        problems.push(describeUnknownField(jsonSchema, issue.path, key));
      }
    } else {
      problems.push({ path: formatPath(issue.path), message: issue.message });
    }
  }
  return problems;
}

function parseJson(text: string, code: ResultCode): Either<LapisError, unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (thrown) {
    const message = `not JSON: ${(thrown as Error).message}`;
    return Left(new LapisError(code, message, { problems: [{ path: '$', message }] }));
  }
}

function check<T>(schema: z.ZodType<T>, value: unknown, code: ResultCode): Either<LapisError, T> {
  const result = schema.safeParse(value);
  if (result.success) return Right(result.data);
  const problems = toProblems(schema, result.error);
  const lines = problems.map((problem) => `${problem.path}: ${problem.message}`);
  return Left(new LapisError(code, lines.join('\n'), { problems }));
}

/** Checks the text of an environment document. */
export function checkDocument(text: string): Either<LapisError, EnvironmentDocument> {
  const code = ResultCode.DocumentInvalid;
  return parseJson(text, code).chain((value) => check(documentSchema, value, code));
}

/** Checks the text of a settings file. */
export function checkSettings(text: string): Either<LapisError, Settings> {
  const code = ResultCode.SettingsInvalid;
  return parseJson(text, code).chain((value) => check(settingsSchema, value, code));
}
