/**
 * Entry point of the daemon.
 */
import { Builtins, Cli } from 'clipanion';

import { RunCommand } from './run-command.js';

const cli = new Cli({ binaryLabel: 'lapisbridged', binaryName: 'lapisbridged' });
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);

const status = await cli.run(process.argv.slice(2));
process.exit(status);
