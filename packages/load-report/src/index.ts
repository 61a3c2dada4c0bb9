/**
 * Counts from processes' JSON lines what callers got, and renders the result.
 */
export { createReportTally } from './tally-report.js';
export type { ReportOptions, ReportTally } from './tally-report.js';
export type {
  CostlyMoment,
  CountedBy,
  OutageReport,
  Percentiles,
  Report,
  SecondReport,
  ServerLoad,
} from './report.js';
export { EndClass } from './request-counts.js';
export type { EndCounts } from './request-counts.js';
export { renderMarkdown } from './render-markdown.js';
export { renderPage } from './render-page.js';
