/**
 * What all commands share: where the entry is, how results and errors are printed, and the
 * exit status from the result-code table.
 */
import { readFileSync } from 'node:fs';

import { LapisError, RESULT_CODES, ResultCode, toLapisError } from '@lapisbridge/errors';
import { Command, Option } from 'clipanion';

import { createOperatorClient } from './operator-client.js';
import type { OperatorClient } from './operator-client.js';

export abstract class OperatorCommand extends Command {
  operatorUrl = Option.String('--operator', {
    description: 'Operator address of any entry; LAPISBRIDGE_OPERATOR when left out.',
  });

  token = Option.String('--token', {
    description: 'Operator token; LAPISBRIDGE_TOKEN when left out.',
  });

  certificateAuthorityFile = Option.String('--ca', {
    description: 'PEM file of the authority that signed the entry’s certificate.',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON for scripts.' });

  protected client(): OperatorClient {
    const url = this.operatorUrl ?? process.env.LAPISBRIDGE_OPERATOR;
    const token = this.token ?? process.env.LAPISBRIDGE_TOKEN;
    if (url === undefined || token === undefined) {
      throw new LapisError(
        ResultCode.ConnectionFailed,
        'give --operator and --token, or set LAPISBRIDGE_OPERATOR and LAPISBRIDGE_TOKEN',
      );
    }
    return createOperatorClient({
      url,
      token,
      ...(this.certificateAuthorityFile === undefined
        ? {}
        : { certificateAuthority: readFileSync(this.certificateAuthorityFile, 'utf8') }),
    });
  }

  /** Carries the command out; what it returns is printed as JSON or by `print`. */
  protected abstract carryOut(): Promise<unknown>;

  /** Prints a result for people. */
  protected abstract print(result: unknown): void;

  protected line(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }

  async execute(): Promise<number> {
    try {
      const result = await this.carryOut();
      if (this.json) this.line(JSON.stringify(result, null, 2));
      else this.print(result);
      return 0;
    } catch (thrown) {
      return this.printError(toLapisError(thrown));
    }
  }

  private printError(error: LapisError): number {
    const { title, nextStep, exitStatus } = RESULT_CODES[error.code];
    if (this.json) {
      const { code, message: detail, problems } = error;
      this.line(JSON.stringify({ code, title, detail, nextStep, problems }, null, 2));
      return exitStatus;
    }
    const { stderr } = this.context;
    stderr.write(`${error.code} ${title}\n${error.message}\n`);
    if (!error.message.includes('\n')) {
      for (const { path, message } of error.problems) stderr.write(`  ${path}: ${message}\n`);
    }
    stderr.write(`${nextStep}\n`);
    return exitStatus;
  }
}
