#!/usr/bin/env node
/**
 * The `gladespool` command.
 */
import { exitOnClosedPipe } from '@gladespool/observability';
import { Builtins, Cli } from 'clipanion';
import { RunCommand } from './commands/run-command.js';
import { SettingsCheckCommand, SettingsShowCommand } from './commands/settings-command.js';

exitOnClosedPipe(process.stdout);
const cli = new Cli({
  binaryLabel: 'gladespool, database proxy with session consistency',
  binaryName: 'gladespool',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(SettingsCheckCommand);
cli.register(SettingsShowCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
await cli.runExit(process.argv.slice(2));
