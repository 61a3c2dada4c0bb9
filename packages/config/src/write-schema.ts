/**
 * Writes the JSON Schemas that editors use. Run by `npm run schema`; the result is committed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';

import { jsonSchemas } from './json-schemas.js';

const FOLDER = new URL('../../../schemas/', import.meta.url);

mkdirSync(FOLDER, { recursive: true });
for (const [fileName, schema] of Object.entries(jsonSchemas())) {
  writeFileSync(new URL(fileName, FOLDER), `${JSON.stringify(schema, null, 2)}\n`);
}
