/**
 * A group of upstreams in memory: one log each, replicas that have received the primary's log, and promotions with
 * increasing terms.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  GladespoolError,
  GroupId,
  Position,
  UpstreamId,
  WorkspaceId,
} from '@gladespool/coordination';
import { gladespoolError, Step, UpstreamFault } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type {
  PromotionPort,
  PromotionRequest,
  UpstreamAnswer,
  UpstreamCommand,
  UpstreamDriver,
  UpstreamEntry,
  UpstreamStatus,
  DriverConnection,
} from '../../src/index.js';
import { PromotionResult, ConnectionLoss } from '../../src/index.js';

/** One upstream. */
export class FakeUpstream {
  dead = false;
  isPrimary = false;
  /** Whether it receives nothing from the primary. */
  deaf = false;
  /** Time after which it receives a commit of the primary, milliseconds. */
  lagMs = 0;
  term = 1;
  offset = 0;
  /** Number of further statements that it sheds. */
  sheds = 0;
  /** Commits that it has received but not applied, so that reads don't show them. */
  unapplied = 0;
  /** Time that it needs for commands of a kind in addition, milliseconds. */
  readonly delaysMs = new Map<UpstreamCommand['kind'], number>();
  /** Increases with each start; a connection is usable only in the life in which it was opened. */
  life = 1;

  constructor(readonly id: UpstreamId) {}

  /** Restarts without data but with its previous role; with a relay in between, connections can stay open. */
  startAnew(closesConnections = true): void {
    if (closesConnections) this.life += 1;
    this.term = 1;
    this.offset = 0;
  }
}

/** The upstreams of one group, and the platform that promotes them. */
export class FakeGroup implements PromotionPort {
  readonly upstreams = new Map<UpstreamId, FakeUpstream>();
  /** Called when a promotion request arrives, before it is executed or refused. */
  onCall: (req: PromotionRequest) => void = () => undefined;
  /** Called when a promotion request is executed. */
  onPromotion: (req: PromotionRequest) => void = () => undefined;
  /** Called when an upstream sheds a statement. */
  onShed: () => void = () => undefined;
  /** Promotion requests that were executed, with the time of their arrival. */
  readonly promotions: { readonly req: PromotionRequest; readonly at: number }[] = [];
  /** Commands that reached an upstream. */
  readonly received: {
    readonly upstream: UpstreamId;
    readonly kind: UpstreamCommand['kind'];
    readonly at: number;
  }[] = [];
  /** Statements that ran, by upstream. */
  readonly ran: {
    readonly upstream: UpstreamId;
    readonly workspace: WorkspaceId | undefined;
    readonly text: string;
    readonly at: number;
  }[] = [];

  promote(req: PromotionRequest): Promise<Result<PromotionResult, GladespoolError>> {
    this.onCall(req);
    const chosen = this.upstreams.get(req.upstream);
    if (chosen === undefined || chosen.dead) return Promise.resolve(ok(PromotionResult.Refused));
    this.promotions.push({ req, at: performance.now() });
    this.onPromotion(req);
    chosen.term = Math.max(...[...this.upstreams.values()].map(({ term }) => term)) + 1;
    chosen.isPrimary = true;
    for (const follower of this.followers) follower.term = chosen.term;
    return Promise.resolve(ok(PromotionResult.Done));
  }

  /** Replicas that receive what the primary sends. */
  private get followers(): readonly FakeUpstream[] {
    return [...this.upstreams.values()].filter(
      ({ isPrimary, dead, deaf }) => !isPrimary && !dead && !deaf,
    );
  }

  commit(primary: FakeUpstream): void {
    primary.offset += 1;
    for (const upstream of this.followers) {
      upstream.term = Math.max(upstream.term, primary.term);
      if (upstream.lagMs === 0) upstream.offset = primary.offset;
      else receiveLater(upstream, primary.offset);
    }
  }
}

/** Delivers the commits up to `offset` after the replica's lag, unless it has become primary by then. */
function receiveLater(replica: FakeUpstream, offset: number): void {
  const receive = (): void => {
    if (!replica.isPrimary) replica.offset = Math.max(replica.offset, offset);
  };
  setTimeout(receive, replica.lagMs).unref();
}

/** Driver for one host's connections to a group; some upstreams may be unreachable. */
export class FakeDriver implements UpstreamDriver {
  readonly unreachable = new Set<UpstreamId>();
  /** Upstreams to which connections were requested. */
  readonly connected = new Set<UpstreamId>();
  /** Upstreams that accept new connections but start no session. */
  readonly unserved = new Set<UpstreamId>();
  /** Time that opening a connection takes, milliseconds. */
  connectMs = 0;

  constructor(private readonly group: FakeGroup) {}

  async connect(
    entry: UpstreamEntry,
    _group: GroupId,
    timeoutMs: number,
    workspace: WorkspaceId | undefined,
  ): Promise<Result<DriverConnection, GladespoolError>> {
    this.connected.add(entry.id);
    if (this.connectMs > 0) await pause(this.connectMs);
    const upstream = this.group.upstreams.get(entry.id);
    if (upstream !== undefined && !this.isUnreachable(upstream)) {
      return ok(
        new FakeConnection(this.group, upstream, workspace, () => this.isUnreachable(upstream)),
      );
    }
    await pause(Math.min(timeoutMs, NO_ANSWER_MS));
    const step = this.unserved.has(entry.id) ? Step.UpstreamStart : Step.UpstreamConnect;
    return err(gladespoolError({ step, peer: entry.id }, 'silent'));
  }

  readStatus(row: string): UpstreamStatus {
    return JSON.parse(row) as UpstreamStatus;
  }

  private isUnreachable(upstream: FakeUpstream): boolean {
    return upstream.dead || this.unreachable.has(upstream.id) || this.unserved.has(upstream.id);
  }
}

const NO_ANSWER_MS = 50;

class FakeConnection implements DriverConnection {
  readonly initialPosition: Position;
  private readonly life: number;
  private closed = false;

  constructor(
    private readonly group: FakeGroup,
    private readonly upstream: FakeUpstream,
    private readonly workspace: WorkspaceId | undefined,
    private readonly isUnreachable: () => boolean,
  ) {
    this.initialPosition = this.status().received;
    this.life = upstream.life;
  }

  get usable(): boolean {
    return !this.closed && this.life === this.upstream.life;
  }

  get reusable(): boolean {
    return this.usable;
  }

  close(): void {
    this.closed = true;
  }

  async exchange(command: UpstreamCommand, timeoutMs: number): Promise<UpstreamAnswer> {
    const { id, delaysMs } = this.upstream;
    const { kind } = command;
    this.group.received.push({ upstream: id, kind, at: performance.now() });
    await pause(1 + (delaysMs.get(kind) ?? 0));
    if (!this.usable) return { kind: 'lost', loss: ConnectionLoss.Closed };
    if (this.isUnreachable()) {
      await pause(Math.min(timeoutMs, NO_ANSWER_MS));
      this.closed = true;
      return { kind: 'lost', loss: ConnectionLoss.Timeout };
    }
    if (command.kind === 'run') return this.run(command.text, command.after);
    const rows = command.kind === 'status' ? [JSON.stringify(this.status())] : [];
    const { term, offset, unapplied } = this.upstream;
    const position = { term, offset: offset - unapplied };
    return { kind: 'completed', rows, signature: '-', position };
  }

  private run(text: string, after: Position | undefined): UpstreamAnswer {
    const { upstream, group } = this;
    const position = this.status().received;
    if (upstream.sheds > 0) {
      upstream.sheds -= 1;
      group.onShed();
      const fault = UpstreamFault.Busy;
      return { kind: 'faulted', fault, code: 'BUSY', text: upstream.id, position };
    }
    if (after !== undefined && after.offset > upstream.offset) {
      const fault = UpstreamFault.Lagging;
      return { kind: 'faulted', fault, code: 'LAGGING', text: upstream.id, position };
    }
    const writes = text.startsWith('WRITE');
    if (writes && !upstream.isPrimary) {
      const fault = UpstreamFault.ReadOnly;
      return { kind: 'faulted', fault, code: 'READONLY', text: upstream.id, position };
    }
    if (writes) group.commit(upstream);
    const { workspace } = this;
    group.ran.push({ upstream: upstream.id, workspace, text, at: performance.now() });
    const rows = [upstream.id];
    return { kind: 'completed', rows, signature: 's', position: this.status().received };
  }

  private status(): UpstreamStatus {
    const { isPrimary, term, offset } = this.upstream;
    return { isPrimary, term, received: { term, offset } };
  }
}
