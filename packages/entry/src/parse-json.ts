/**
 * Parses a JSON body against a schema; every problem is told with its path.
 */
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { z } from 'zod';

export function parseJson<T>(schema: z.ZodType<T>, bytes: Buffer, message: string): T {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    throw new LapisError(ResultCode.MalformedJson, 'the body is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) => ({
    path: ['$', ...issue.path.map(String)].join('.'),
    message: issue.message,
  }));
  throw new LapisError(ResultCode.BadRequest, message, { problems });
}
