/**
 * `gladespool settings check FILE` and `gladespool settings show`.
 */
import { SETTINGS_NAMED_SECTIONS, SETTINGS_SECTIONS } from '@gladespool/protocol';
import { Command, Option } from 'clipanion';
import * as z from 'zod';
import { ExitCode } from './exit-code.js';
import { loadSettings } from './load-settings.js';

/** Validates a settings file. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];

  static override usage = Command.Usage({
    description: 'Check a settings file and print every fault.',
    details: 'Exit codes: 0 when FILE is valid, 2 when it has faults.',
    examples: [['Check a file', '$0 settings check host.ini']],
  });

  file = Option.String({ name: 'FILE', required: true });

  async execute(): Promise<number> {
    const settings = await loadSettings(this.file, this.context.stderr);
    if (settings === undefined) return ExitCode.BadSettings;
    this.context.stdout.write(`${this.file}: valid, host ${settings.host} in ${settings.az}\n`);
    return ExitCode.Ok;
  }
}

/** Prints every setting with its meaning and default. */
export class SettingsShowCommand extends Command {
  static override paths = [['settings', 'show']];

  static override usage = Command.Usage({
    description: 'Print every setting with its meaning and default, as an INI file.',
  });

  execute(): Promise<number> {
    for (const [name, schema] of Object.entries(SETTINGS_SECTIONS)) this.show(`[${name}]`, schema);
    for (const [name, schema] of Object.entries(SETTINGS_NAMED_SECTIONS)) {
      this.show(`[${name}.NAME]`, schema);
    }
    return Promise.resolve(ExitCode.Ok);
  }

  private show(title: string, schema: z.ZodObject): void {
    const lines = Object.entries(schema.shape).flatMap(([key, field]) =>
      describe(key, field as z.ZodType),
    );
    this.context.stdout.write([title, ...lines, '', ''].join('\n'));
  }
}

function describe(key: string, field: z.ZodType): readonly string[] {
  const meaning = z.globalRegistry.get(field)?.description ?? '';
  const missing = field.safeParse(undefined);
  if (!missing.success) return [`; ${meaning} Required.`, `;${key} =`];
  if (missing.data === undefined) return [`; ${meaning}`, `;${key} =`];
  return [`; ${meaning}`, `${key} = ${formatDefault(missing.data)}`];
}

function formatDefault(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
