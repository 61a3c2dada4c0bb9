/**
 * The command line: reads arguments, and calls the operators' HTTP or reads logs.
 */
import { Builtins, Cli } from 'clipanion';

import { ChangeShowCommand } from './commands/change-show.js';
import { DocumentApplyCommand } from './commands/document/apply.js';
import { DocumentCheckCommand } from './commands/document/check.js';
import { DocumentDiffCommand } from './commands/document/diff.js';
import { DocumentHistoryCommand } from './commands/document/history.js';
import { DocumentPromoteCommand } from './commands/document/promote.js';
import { DocumentShowCommand } from './commands/document/show.js';
import {
  InstanceDrainCommand,
  InstanceRestoreCommand,
  ZoneDrainCommand,
  ZoneRestoreCommand,
} from './commands/drain-and-restore.js';
import { ExplainCommand } from './commands/explain.js';
import { IncidentCommand } from './commands/incident.js';
import { ReportCommand } from './commands/report.js';
import { StatusCommand } from './commands/status.js';

export function createCli(): Cli {
  const cli = new Cli({ binaryLabel: 'lapisbridge', binaryName: 'lapisbridge' });
  for (const command of [
    StatusCommand,
    DocumentCheckCommand,
    DocumentDiffCommand,
    DocumentApplyCommand,
    DocumentPromoteCommand,
    DocumentHistoryCommand,
    DocumentShowCommand,
    ZoneDrainCommand,
    ZoneRestoreCommand,
    InstanceDrainCommand,
    InstanceRestoreCommand,
    ExplainCommand,
    IncidentCommand,
    ReportCommand,
    ChangeShowCommand,
    Builtins.HelpCommand,
  ]) {
    cli.register(command);
  }
  return cli;
}
