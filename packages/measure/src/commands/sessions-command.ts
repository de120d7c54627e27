/**
 * `npm run measure -- sessions`: a session repeatedly writes on one host and, with its token, reads
 * immediately on a host of another zone while replicas lag; no read may miss its write.
 */
import { Command, Option } from 'clipanion';
import { Deployment } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import { LatencyRecorder } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';

/** Checks session consistency through the driver; exits with 1 when a read missed its write. */
export class SessionsCommand extends Command {
  static override paths = [['sessions']];

  static override usage = Command.Usage({
    description: 'Write on one host, read at once in another zone; counts missed writes.',
  });

  times = Option.String('--times', '1000');
  lagMs = Option.String('--lag-ms', '50');
  seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    const seed = Number(this.seed);
    const deployment = new Deployment({ shape: RAMDIN, seed, basePort: 0, latency: true });
    await deployment.start();
    for (const { server } of deployment.upstreams) server.node.applyLagMs = Number(this.lagMs);
    const latency = new LatencyRecorder();
    let missed = 0;
    for (let i = 0; i < Number(this.times); i += 1) {
      const found = await this.writeAndRead(deployment, i, latency);
      if (!found) missed += 1;
    }
    const { p50, p99 } = latency.summary();
    printFields(this.context.stdout, 'sessions', {
      times: this.times,
      lag_ms: this.lagMs,
      missed,
      read_p50_ms: p50,
      read_p99_ms: p99,
      seed,
    });
    await deployment.stop();
    return missed === 0 ? 0 : 1;
  }

  private async writeAndRead(
    deployment: Deployment,
    index: number,
    latency: LatencyRecorder,
  ): Promise<boolean> {
    const { hosts, options } = deployment;
    const group = options.shape.groups[index % options.shape.groups.length] ?? '';
    const writing = hosts[index % hosts.length];
    const elsewhere = hosts.filter((host) => host.board.az !== writing?.board.az);
    const reading = elsewhere[index % elsewhere.length];
    const writer = await Caller.connect({ port: writing?.callers.port ?? 0, group });
    await writer.query('INSERT INTO deeds (id, state) VALUES ($1, $2)', [`s${index}`, 'signed']);
    const { token } = writer;
    await writer.end();
    const reader = await Caller.connect({ port: reading?.callers.port ?? 0, group, token });
    const sentAt = performance.now();
    const rows = await reader.query('SELECT state FROM deeds WHERE id = $1', [`s${index}`]);
    latency.record(performance.now() - sentAt);
    await reader.end();
    return rows.length === 1;
  }
}
