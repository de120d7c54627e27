/**
 * `npm run measure -- EXPERIMENT`: runs the experiments whose results are in docs/MEASUREMENTS.md.
 */
import { Builtins, Cli } from 'clipanion';
import { ChaosCommand } from './commands/chaos-command.js';
import { FailoverCommand } from './commands/failover-command.js';
import { ReplicasCommand } from './commands/replicas-command.js';
import { ControlCommand } from './commands/control-command.js';
import { DrainCommand } from './commands/drain-command.js';
import { OverloadCommand } from './commands/overload-command.js';
import { RolloutCommand } from './commands/rollout-command.js';
import { PlotCommand } from './commands/plot-command.js';
import { SessionsCommand } from './commands/sessions-command.js';
import { StabilityCommand } from './commands/stability-command.js';
import { OverheadCommand } from './commands/overhead-command.js';

const cli = new Cli({ binaryName: 'npm run measure --', binaryLabel: 'gladespool experiments' });
cli.register(ChaosCommand);
cli.register(FailoverCommand);
cli.register(ReplicasCommand);
cli.register(ControlCommand);
cli.register(DrainCommand);
cli.register(OverloadCommand);
cli.register(RolloutCommand);
cli.register(PlotCommand);
cli.register(SessionsCommand);
cli.register(StabilityCommand);
cli.register(OverheadCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
