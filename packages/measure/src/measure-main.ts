/**
 * `npm run measure -- EXPERIMENT`: the experiments behind docs/MEASUREMENTS.md.
 */
import { Builtins, Cli } from 'clipanion';
import { ChaosCommand } from './commands/chaos-command.js';
import { FailoverCommand } from './commands/failover-command.js';
import { ReplicasCommand } from './commands/replicas-command.js';
import { OverheadCommand } from './commands/overhead-command.js';

const cli = new Cli({ binaryName: 'npm run measure --', binaryLabel: 'gladespool experiments' });
cli.register(ChaosCommand);
cli.register(FailoverCommand);
cli.register(ReplicasCommand);
cli.register(OverheadCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
