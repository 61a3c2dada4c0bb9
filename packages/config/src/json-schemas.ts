/**
 * The JSON Schemas of the settings file and the environment document, by file name.
 */
import { z } from 'zod';

import { documentSchema } from './document.js';
import { settingsSchema } from './settings.js';

export function jsonSchemas(): Readonly<Record<string, unknown>> {
  const options = { io: 'input', unrepresentable: 'any' } as const;
  return {
    'document.schema.json': z.toJSONSchema(documentSchema, options),
    'settings.schema.json': z.toJSONSchema(settingsSchema, options),
  };
}
