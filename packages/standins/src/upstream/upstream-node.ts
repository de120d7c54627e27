/**
 * State of one stand-in upstream: log, term, role, fence, asynchronous replication with a lag
 * that can be set. Its sessions and its listening socket live in other modules.
 */
import type { Lineage, Position, UpstreamReport } from '@gladespool/coordination';
import { sharedPrefix, termAt, upstreamId, UpstreamRole } from '@gladespool/coordination';
import type { LogEntry } from './log.js';
import { TableState } from './log.js';

/** How the nodes of a group reach each other. */
export interface ReplicationLinks {
  /** One-way delay, milliseconds; undefined while the link is cut. */
  delayMs(from: string, to: string): number | undefined;
}

const PULL_INTERVAL_MS = 10;

/** One upstream of a group. */
export class UpstreamNode {
  role: UpstreamRole;
  term = 1;
  fencedTerm = 1;
  lineage: Lineage = [{ term: 1, start: 0 }];
  following: string | undefined;
  /** Extra time between receiving and applying, milliseconds. */
  applyLagMs = 0;
  /** Whether replication into this node is held back. */
  replicationHeld = false;
  /** Transactions open in sessions. */
  openTransactions = 0;
  paused = false;
  stopped = false;
  private log: LogEntry[] = [];
  private appliedOffset = 0;
  private state = new TableState();
  private epoch = 0;
  private readonly peers = new Map<string, UpstreamNode>();
  private readonly resetListeners: (() => void)[] = [];
  private readonly pulling: NodeJS.Timeout;

  constructor(
    readonly id: string,
    primary: string,
    private readonly links: ReplicationLinks,
  ) {
    this.role = id === primary ? UpstreamRole.Primary : UpstreamRole.Replica;
    this.following = id === primary ? undefined : primary;
    this.pulling = setInterval(() => {
      this.pull();
    }, PULL_INTERVAL_MS);
  }

  /** Makes the other nodes of the group known. */
  connectPeers(nodes: readonly UpstreamNode[]): void {
    for (const node of nodes) if (node.id !== this.id) this.peers.set(node.id, node);
  }

  /** Calls back when the log was truncated: sessions must end, as on a restart. */
  onReset(listener: () => void): void {
    this.resetListeners.push(listener);
  }

  /** Tables as this node's readers see them. */
  get tables(): TableState {
    return this.state;
  }

  /** Committed entries, for checkers of what stands in the log. */
  get entries(): readonly LogEntry[] {
    return this.log;
  }

  get canWrite(): boolean {
    return this.role === UpstreamRole.Primary && this.fencedTerm <= this.term;
  }

  report(): UpstreamReport {
    return {
      upstream: upstreamId(this.id),
      role: this.role,
      received: this.positionAt(this.log.length),
      applied: this.positionAt(this.appliedOffset),
      fencedTerm: this.fencedTerm,
      lineage: this.lineage,
      openTransactions: this.openTransactions,
    };
  }

  /** Appends a transaction; only while {@link canWrite}. */
  commit(changes: LogEntry['changes']): void {
    const entry: LogEntry = { term: this.term, changes };
    this.log.push(entry);
    this.state.apply(entry);
    this.appliedOffset = this.log.length;
    for (const peer of this.peers.values()) peer.pull();
  }

  fence(term: number): void {
    this.fencedTerm = Math.max(this.fencedTerm, term);
  }

  /** Makes this node the primary of `term`; false when it was fenced past it. */
  promote(term: number, lineage: Lineage): boolean {
    if (this.fencedTerm > term) return false;
    this.fencedTerm = term;
    if (this.term === term && this.role === UpstreamRole.Primary) return true;
    this.term = term;
    this.lineage = lineage;
    this.role = UpstreamRole.Primary;
    this.following = undefined;
    this.applyAll();
    return true;
  }

  /** Makes this node a replica of `primary`; false when it was fenced past `term`. */
  follow(term: number, primary: string, lineage: Lineage): boolean {
    if (this.fencedTerm > term) return false;
    this.fencedTerm = term;
    const wasPrimary = this.role === UpstreamRole.Primary;
    const keep = Math.min(this.log.length, sharedPrefix(this.lineage, lineage));
    this.role = UpstreamRole.Replica;
    this.following = primary;
    this.term = term;
    this.lineage = lineage;
    if (keep < this.log.length) this.truncate(keep);
    else if (wasPrimary) this.notifyReset();
    return true;
  }

  /** Stops timers; the node is no longer used. */
  dispose(): void {
    clearInterval(this.pulling);
  }

  private positionAt(offset: number): Position {
    const reached = termAt(this.lineage, offset);
    return { term: Math.min(reached, this.term), offset };
  }

  private truncate(length: number): void {
    this.epoch += 1;
    this.log = this.log.slice(0, length);
    if (this.appliedOffset > length) {
      this.state = new TableState();
      for (const entry of this.log) this.state.apply(entry);
      this.appliedOffset = length;
    }
    this.notifyReset();
  }

  private notifyReset(): void {
    for (const listener of this.resetListeners) listener();
  }

  private pull(): void {
    const primary = this.following === undefined ? undefined : this.peers.get(this.following);
    if (primary === undefined || !this.running || !primary.running || this.replicationHeld) return;
    const delayMs = this.links.delayMs(primary.id, this.id);
    if (delayMs === undefined || primary.log.length <= this.log.length) return;
    const upTo = primary.log.length;
    if (delayMs === 0) this.receive(primary, upTo, this.epoch);
    else this.receiveLater(primary, upTo, delayMs);
  }

  private receiveLater(primary: UpstreamNode, upTo: number, delayMs: number): void {
    const epoch = this.epoch;
    setTimeout(() => {
      this.receive(primary, upTo, epoch);
    }, delayMs);
  }

  private get running(): boolean {
    return !this.paused && !this.stopped;
  }

  private receive(primary: UpstreamNode, upTo: number, epoch: number): void {
    const fromPrimary = this.following === primary.id && primary.term === this.term;
    const accepts = this.fencedTerm <= primary.term && this.running && epoch === this.epoch;
    if (!fromPrimary || !accepts || primary.role !== UpstreamRole.Primary) return;
    const news = primary.log.slice(this.log.length, upTo);
    if (news.length === 0) return;
    this.log.push(...news);
    const target = this.log.length;
    if (this.applyLagMs === 0) this.applyUpTo(target, this.epoch);
    else {
      setTimeout(() => {
        this.applyUpTo(target, epoch);
      }, this.applyLagMs);
    }
  }

  private applyAll(): void {
    this.applyUpTo(this.log.length, this.epoch);
  }

  private applyUpTo(offset: number, epoch: number): void {
    if (epoch !== this.epoch) return;
    for (let i = this.appliedOffset; i < offset; i += 1) {
      const entry = this.log[i];
      if (entry !== undefined) this.state.apply(entry);
    }
    this.appliedOffset = Math.max(this.appliedOffset, offset);
  }
}
