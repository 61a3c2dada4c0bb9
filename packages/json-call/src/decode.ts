/**
 * Checked reading of JSON that other writers made: a field that is missing or of another type
 * is reported as absent, and never throws.
 */
export type JsonObject = Readonly<Record<string, unknown>>;

export function parseObject(bytes: Buffer): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

export function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

export function textOf(object: JsonObject, name: string): string | undefined {
  const value = object[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

export function numberOf(object: JsonObject, name: string): number | undefined {
  const value = object[name];
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined;
}

/** Bounds of a number, both included. */
export interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
}

/** Undefined unless it is a whole number in the range that has an exact representation. */
export function wholeNumberOf(
  object: JsonObject,
  name: string,
  { minimum, maximum }: NumberRange,
): number | undefined {
  const value = numberOf(object, name);
  if (value === undefined || !Number.isSafeInteger(value)) return undefined;
  return value >= minimum && value <= maximum ? value : undefined;
}

export function listOf(object: JsonObject, name: string): readonly unknown[] {
  const value = object[name];
  return Array.isArray(value) ? value : [];
}

export function objectsOf(object: JsonObject, name: string): readonly JsonObject[] {
  return listOf(object, name).filter(isObject);
}
