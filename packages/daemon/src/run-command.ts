/**
 * The command `lapisbridged`.
 */
import { readFileSync } from 'node:fs';

import { checkSettings } from '@lapisbridge/config';
import type { Settings } from '@lapisbridge/config';
import { LapisError, RESULT_CODES, ResultCode } from '@lapisbridge/errors';
import { Command, Option } from 'clipanion';

import { createRole } from './index.js';

function readSettings(file: string): Settings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (thrown) {
    throw new LapisError(ResultCode.SettingsInvalid, `${file}: ${(thrown as Error).message}`);
  }
  return checkSettings(text)
    .ifLeft((error) => {
      throw error;
    })
    .unsafeCoerce();
}

/**
 * Resolves at the first signal. Later ones do not end the process sooner, except for a second
 * SIGINT, which comes from a user at a terminal.
 */
function awaitStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGHUP', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

export class RunCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Runs one lapisbridge process: an entry or a sidecar.',
    details: 'The role, the addresses and the availability zone come from the settings file.',
    examples: [
      ['Run an entry', '$0 --settings entry-1.json'],
      ['Check a settings file', '$0 --settings entry-1.json --check'],
    ],
  });

  settingsFile = Option.String('--settings', {
    required: true,
    description: 'Settings file (JSON).',
  });

  check = Option.Boolean('--check', false, {
    description: 'Check the settings, print every problem, and exit.',
  });

  async execute(): Promise<number> {
    let settings: Settings;
    try {
      settings = readSettings(this.settingsFile);
    } catch (thrown) {
      const error = thrown as LapisError;
      const { title, nextStep, exitStatus } = RESULT_CODES[error.code];
      this.context.stderr.write(`${error.code} ${title}\n${error.message}\n${nextStep}\n`);
      return exitStatus;
    }
    if (this.check) {
      this.context.stdout.write(`${this.settingsFile}: ok\n`);
      return 0;
    }
    const stopRequested = awaitStopSignal();
    const role = createRole(settings);
    await Promise.race([role.start(), stopRequested]);
    await stopRequested;
    await role.stop();
    return 0;
  }
}
