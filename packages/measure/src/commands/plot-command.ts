/**
 * `npm run measure -- plot`: draws result lines as a grouped bar chart in SVG.
 */
import { readFile, writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import { printFields } from './print-fields.js';

const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;
const STEP_PX = 18;
const HEIGHT_PX = 220;

type ResultLine = Readonly<Record<string, string | number>>;

/** Draws result lines; exits with 1 when no line has the event. */
export class PlotCommand extends Command {
  static override paths = [['plot']];

  static override usage = Command.Usage({
    description: 'Draw result lines of an experiment as a grouped bar chart in SVG.',
    examples: [
      [
        'Failover gaps',
        '$0 plot results.log failover.svg --event failover --x loss --y gap_p99_ms --group policy',
      ],
    ],
  });

  input = Option.String({ name: 'RESULTS', required: true });
  output = Option.String({ name: 'SVG', required: true });
  event = Option.String('--event', { required: true, description: 'Event of the lines drawn.' });
  x = Option.String('--x', { required: true, description: 'Key of the groups on the x axis.' });
  y = Option.String('--y', { required: true, description: 'Key of the bars.' });
  group = Option.String('--group', { required: true, description: 'Key that colours the bars.' });

  async execute(): Promise<number> {
    const text = await readFile(this.input, 'utf8');
    const values = text
      .split('\n')
      .map(readLine)
      .filter((line) => line.event === this.event);
    const spec = compile({
      title: `${this.event}: ${this.y}`,
      width: { step: STEP_PX },
      height: HEIGHT_PX,
      background: 'white',
      data: { values: [...values] },
      mark: 'bar',
      encoding: {
        x: { field: this.x, type: 'nominal', sort: null },
        xOffset: { field: this.group, type: 'nominal', sort: null },
        y: { field: this.y, type: 'quantitative' },
        color: { field: this.group, type: 'nominal', sort: null },
      },
    }).spec;
    const view = new View(parse(spec), { renderer: 'none' });
    await writeFile(this.output, await view.toSVG());
    printFields(this.context.stdout, 'plotted', { lines: values.length, file: this.output });
    return values.length === 0 ? 1 : 0;
  }
}

function readLine(line: string): ResultLine {
  const pairs = [...line.matchAll(PAIR)].map(([, key = '', value = '']) => {
    const number = Number(value);
    return [key, Number.isNaN(number) ? value : number] as const;
  });
  return Object.fromEntries(pairs);
}
