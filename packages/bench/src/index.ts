/**
 * Launching sites, loading them, and measuring.
 */
export { createCaller } from './site/caller.js';
export { accountKey, launchSite, OPERATOR_TOKEN } from './site/site.js';
export type { Site, SiteOptions } from './site/site.js';
