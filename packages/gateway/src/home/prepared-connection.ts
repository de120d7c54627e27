/**
 * A pooled upstream connection that tracks the session values and prepared statements set on it, so that it can be
 * set up for whichever session uses it next.
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

/** Number of prepared statements on one connection above which all of them are discarded. */
const MAX_PREPARED = 200;

/** An upstream connection with the session state that is set on it. */
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
   * Sets the session values and prepares the statement that the session's work needs.
   *
   * @returns the answer of the command that failed; undefined on success. After a failure the connection must not
   * be used.
   */
  async setUp(
    values: SessionValues,
    work: Work | undefined,
    timeoutMs: number,
  ): Promise<UpstreamAnswer | undefined> {
    for (const command of this.setUpCommands(values, work)) {
      const answer = await this.wire.exchange(command, timeoutMs);
      if (answer.kind !== 'completed') return answer;
      this.recordState(command);
    }
    return undefined;
  }

  /** Returns the command that runs the work on this connection. */
  commandFor(work: Work, id: string, after: Position | undefined): UpstreamCommand {
    if (work.kind === 'text') return { kind: 'run', id, text: work.text, after };
    return { kind: 'execute', id, name: preparedNameOf(work.prepared), args: work.args, after };
  }

  /** Forgets all prepared statements, after the upstream has reported that it does not know one. */
  forgetPrepared(): void {
    this.prepared.clear();
  }

  private setUpCommands(values: SessionValues, work: Work | undefined): readonly UpstreamCommand[] {
    const hasForeignValues = [...this.values.keys()].some((name) => !values.has(name));
    const discards = hasForeignValues || this.prepared.size > MAX_PREPARED;
    const commands: UpstreamCommand[] = discards ? [{ kind: 'discard' }] : [];
    for (const [name, value] of values) {
      if (discards || this.values.get(name) !== value) {
        commands.push({ kind: 'set-value', name, value });
      }
    }
    if (work?.kind !== 'prepared') return commands;
    const name = preparedNameOf(work.prepared);
    if (discards || !this.prepared.has(name)) {
      commands.push({ kind: 'prepare', name, prepared: work.prepared });
    }
    return commands;
  }

  private recordState(command: UpstreamCommand): void {
    if (command.kind === 'set-value') this.values.set(command.name, command.value);
    if (command.kind === 'prepare') this.prepared.add(command.name);
    if (command.kind !== 'discard') return;
    this.values.clear();
    this.prepared.clear();
  }
}

/**
 * Name of a prepared shape on upstream connections; the same for every session, so that sessions share it. It is one
 * word and differs for each shape.
 */
function preparedNameOf(prepared: PreparedStatement): string {
  return `${prepared.access}_${encodeURIComponent(prepared.shape)}`;
}
