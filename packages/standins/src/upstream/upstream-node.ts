/**
 * State of one stand-in upstream: log, term, role, fence, and asynchronous replication with a
 * configurable lag. Other modules implement its sessions and its listening socket.
 */
import type { Lineage, Position, UpstreamReport } from '@gladespool/coordination';
import { sharedPrefix, termAt, upstreamId, UpstreamRole } from '@gladespool/coordination';
import type { LogEntry } from './log.js';
import { TableState } from './log.js';

/** Replication links between the nodes of a group. */
export interface ReplicationLinks {
  /** Returns the one-way delay, milliseconds; undefined while the link is cut. */
  delayMs(from: string, to: string): number | undefined;
}

const PULL_INTERVAL_MS = 10;

/** Upstream of a group. */
export class UpstreamNode {
  role: UpstreamRole;
  term = 1;
  fencedTerm = 1;
  lineage: Lineage = [{ term: 1, start: 0 }];
  following: string | undefined;
  /** Delay between receiving and applying a log entry, milliseconds. */
  applyLagMs = 0;
  /** Whether replication to this node is suspended. */
  replicationHeld = false;
  /** Number of open explicit transactions in all sessions. */
  openTransactions = 0;
  paused = false;
  stopped = false;
  private log: LogEntry[] = [];
  private appliedOffset = 0;
  private state = new TableState();
  private epoch = 0;
  private readonly peers = new Map<string, UpstreamNode>();
  private readonly resetListeners: (() => void)[] = [];
  private readonly pullTimer: NodeJS.Timeout;

  constructor(
    readonly id: string,
    primary: string,
    private readonly links: ReplicationLinks,
  ) {
    this.role = id === primary ? UpstreamRole.Primary : UpstreamRole.Replica;
    this.following = id === primary ? undefined : primary;
    this.pullTimer = setInterval(() => {
      this.pull();
    }, PULL_INTERVAL_MS);
  }

  /** Registers the other nodes of the group. */
  connectPeers(nodes: readonly UpstreamNode[]): void {
    for (const node of nodes) if (node.id !== this.id) this.peers.set(node.id, node);
  }

  /**
   * Adds a listener that is called when the log was truncated or a primary became a replica: its
   * sessions must end, as on a restart.
   */
  onReset(listener: () => void): void {
    this.resetListeners.push(listener);
  }

  /** Tables with all applied entries, as readers of this node see them. */
  get tables(): TableState {
    return this.state;
  }

  /** Committed log entries, for checks of the log's contents. */
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

  /** Appends a transaction to the log; callers must check {@link canWrite} first. */
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

  /** Makes this node the primary of `term`; returns false if it is fenced at a later term. */
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

  /** Makes this node a replica of `primary`; returns false if it is fenced at a term after `term`. */
  follow(term: number, primary: string, lineage: Lineage): boolean {
    if (this.fencedTerm > term) return false;
    this.fencedTerm = term;
    const wasPrimary = this.role === UpstreamRole.Primary;
    const sharedLength = Math.min(this.log.length, sharedPrefix(this.lineage, lineage));
    this.role = UpstreamRole.Replica;
    this.following = primary;
    this.term = term;
    this.lineage = lineage;
    if (sharedLength < this.log.length) this.truncate(sharedLength);
    else if (wasPrimary) this.notifyReset();
    return true;
  }

  /** Stops replication for good; the node must not be used afterwards. */
  dispose(): void {
    clearInterval(this.pullTimer);
  }

  private positionAt(offset: number): Position {
    const termAtOffset = termAt(this.lineage, offset);
    return { term: Math.min(termAtOffset, this.term), offset };
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
    const newEntries = primary.log.slice(this.log.length, upTo);
    if (newEntries.length === 0) return;
    this.log.push(...newEntries);
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
