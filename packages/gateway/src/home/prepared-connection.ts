/**
 * A pooled upstream connection together with the session values and prepared statements that it
 * holds, so that it can be set up for whichever session runs on it next.
 */
import type { Position } from '@gladespool/coordination';
import type { PoolConnection } from '@gladespool/pool';
import type { PreparedStatement, Work } from '../model/statement.js';
import type {
  UpstreamAnswer,
  UpstreamCommand,
  DriverConnection,
} from '../model/upstream-driver.js';

/** Session values by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** Prepared statements kept on one connection before it is emptied. */
const MAX_PREPARED = 200;

/** An upstream connection that knows what is set on it. */
export class PreparedConnection implements PoolConnection {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Set<string>();

  constructor(private readonly wire: DriverConnection) {}

  get usable(): boolean {
    return this.wire.usable;
  }

  get reusable(): boolean {
    return this.wire.reusable;
  }

  close(): void {
    this.wire.close();
  }

  exchange(command: UpstreamCommand, timeoutMs: number): Promise<UpstreamAnswer> {
    return this.wire.exchange(command, timeoutMs);
  }

  /**
   * Makes the values and prepared statements what the session's work needs.
   *
   * @returns the answer of the step that failed; undefined when all is set. After a failure the
   * connection must not be used.
   */
  async setUp(
    values: SessionValues,
    work: Work | undefined,
    timeoutMs: number,
  ): Promise<UpstreamAnswer | undefined> {
    for (const command of this.missingSteps(values, work)) {
      const answer = await this.wire.exchange(command, timeoutMs);
      if (answer.kind !== 'completed') return answer;
      this.note(command);
    }
    return undefined;
  }

  /** The command that runs the work here. */
  commandFor(work: Work, id: string, after: Position | undefined): UpstreamCommand {
    if (work.kind === 'text') return { kind: 'run', id, text: work.text, after };
    return { kind: 'execute', id, name: nameOf(work.prepared), args: work.args, after };
  }

  /** Forgets the prepared statements, after the upstream said that it does not know one. */
  forgetPrepared(): void {
    this.prepared.clear();
  }

  private missingSteps(values: SessionValues, work: Work | undefined): readonly UpstreamCommand[] {
    const foreign = [...this.values.keys()].some((name) => !values.has(name));
    const discards = foreign || this.prepared.size > MAX_PREPARED;
    const steps: UpstreamCommand[] = discards ? [{ kind: 'discard' }] : [];
    for (const [name, value] of values) {
      if (discards || this.values.get(name) !== value) {
        steps.push({ kind: 'set-value', name, value });
      }
    }
    if (work?.kind !== 'prepared') return steps;
    const name = nameOf(work.prepared);
    if (discards || !this.prepared.has(name)) {
      steps.push({ kind: 'prepare', name, prepared: work.prepared });
    }
    return steps;
  }

  private note(command: UpstreamCommand): void {
    if (command.kind === 'set-value') this.values.set(command.name, command.value);
    if (command.kind === 'prepare') this.prepared.add(command.name);
    if (command.kind !== 'discard') return;
    this.values.clear();
    this.prepared.clear();
  }
}

/** Name of a shape on upstream connections, the same for every session. */
function nameOf(prepared: PreparedStatement): string {
  return `${prepared.access}_${prepared.shape}`;
}
