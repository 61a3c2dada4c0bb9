/**
 * Entry point of the command line.
 */
import { createCli } from './index.js';

process.exitCode = await createCli().run(process.argv.slice(2));
