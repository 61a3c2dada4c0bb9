/**
 * The load and experiment tool: `npm run bench -- NAME --seed N --out DIR`.
 */
import { createRandom } from '@lapisbridge/kernel';
import { Builtins, Cli, Command, Option } from 'clipanion';

import { EXPERIMENTS } from './experiments/index.js';
import { renderPage, writeReport } from './report/write-report.js';

class BenchCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Runs one experiment and writes JSON, Markdown and SVG.',
    details: EXPERIMENTS.map(({ name, description }) => `- \`${name}\`: ${description}`).join(
      '\n\n',
    ),
    examples: [['Measure placement', 'npm run bench -- placement --seed 7 --out out']],
  });

  name = Option.String();

  seed = Option.String('--seed', '1', { description: 'Seed of every random choice.' });

  out = Option.String('--out', 'out', { description: 'Folder for the results.' });

  async execute(): Promise<number> {
    const experiment = EXPERIMENTS.find(({ name }) => name === this.name);
    if (experiment === undefined) {
      const names = EXPERIMENTS.map(({ name }) => name).join(', ');
      this.context.stderr.write(`no experiment is named ${this.name}; there are: ${names}\n`);
      return 1;
    }
    const seed = Number(this.seed);
    const result = await experiment.run({
      seed,
      random: createRandom(seed),
      progress: (text) => void this.context.stderr.write(`${text}\n`),
    });
    writeReport(this.out, experiment, seed, result);
    this.context.stdout.write(renderPage(experiment, seed, result));
    return 0;
  }
}

const cli = new Cli({ binaryLabel: 'bench', binaryName: 'npm run bench --' });
cli.register(BenchCommand);
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
