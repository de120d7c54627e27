#!/usr/bin/env node
/**
 * Entry point of the `gladespoolctl` command.
 */
import { exitOnClosedPipe } from '@gladespool/observability';
import { Builtins, Cli } from 'clipanion';
import {
  BundleCheckCommand,
  BundleDiffCommand,
  BundlePublishCommand,
  BundleSignCommand,
  BundleStatusCommand,
} from './commands/bundle-commands.js';
import { KeysNewCommand } from './commands/keys-new-command.js';

exitOnClosedPipe(process.stdout);
const cli = new Cli({
  binaryLabel: "gladespoolctl, the operators' command of gladespool",
  binaryName: 'gladespoolctl',
  binaryVersion: '0.1.0',
});
cli.register(BundleCheckCommand);
cli.register(BundleDiffCommand);
cli.register(BundleSignCommand);
cli.register(BundlePublishCommand);
cli.register(BundleStatusCommand);
cli.register(KeysNewCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
await cli.runExit(process.argv.slice(2));
