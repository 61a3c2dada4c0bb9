/**
 * Settings, logs and signals of one process.
 */
export { beginLife, endOnSignal, endUnstarted } from './process-life.js';
export type { ProcessLife } from './process-life.js';
export { parseSettings, readSettings, SETTINGS_VARIABLE, SettingsError } from './settings.js';
export type { ProcessSettings } from './settings.js';
