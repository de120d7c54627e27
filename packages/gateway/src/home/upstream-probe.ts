/**
 * Probes the status of upstreams on dedicated connections, so that a full pool or a dead pooled connection is not
 * mistaken for a dead upstream.
 */
import type { GroupId, Position, UpstreamId } from '@gladespool/coordination';
import { mayBeSameUpstream, Step, UpstreamFault } from '@gladespool/coordination';
import type { UpstreamEntry } from '../model/catalog.js';
import type { UpstreamDriver, UpstreamStatus, DriverConnection } from '../model/upstream-driver.js';

/** Status reported by an upstream. */
export interface StatusResult {
  readonly kind: 'status';
  readonly status: UpstreamStatus;
  /** Log position that its reads show; undefined if it was not reported. */
  readonly applied: Position | undefined;
}

/** Result of a probe. */
export type ProbeResult =
  | StatusResult
  /** The upstream answers, but reported no status. */
  | { readonly kind: 'alive' }
  /** The upstream accepted the connection, but did not serve it in time. */
  | { readonly kind: 'unserved' }
  | { readonly kind: 'silent' };

/**
 * Idle time after which a probe connection is closed, milliseconds: it counts against the upstream's connection
 * budget.
 */
const IDLE_MS = 1500;

interface Channel {
  readonly wire: DriverConnection;
  /** Entry of the upstream when the connection was opened. */
  readonly entry: UpstreamEntry;
  timer: NodeJS.Timeout;
}

/** Probes upstreams from one host, with one connection per upstream. */
export class UpstreamProbe {
  private readonly channels = new Map<UpstreamId, Channel>();

  constructor(
    private readonly driver: UpstreamDriver,
    private readonly onConnected: () => void,
  ) {}

  /** Requests the status of one upstream within `timeoutMs`. */
  async query(entry: UpstreamEntry, group: GroupId, timeoutMs: number): Promise<ProbeResult> {
    const held = this.takeChannel(entry);
    if (held !== undefined) return this.requestStatus(held, entry, timeoutMs);
    const startedAt = performance.now();
    const wire = await this.driver.connect(entry, group, timeoutMs, undefined);
    if (wire.isErr()) return { kind: resultKindOf(wire.error.step) };
    this.onConnected();
    const leftMs = Math.max(1, timeoutMs - (performance.now() - startedAt));
    return this.requestStatus(wire.value, entry, leftMs);
  }

  /** Closes all probe connections. */
  stop(): void {
    for (const { wire, timer } of this.channels.values()) {
      clearTimeout(timer);
      wire.close();
    }
    this.channels.clear();
  }

  private async requestStatus(
    wire: DriverConnection,
    entry: UpstreamEntry,
    timeoutMs: number,
  ): Promise<ProbeResult> {
    const answer = await wire.exchange({ kind: 'status' }, timeoutMs);
    if (answer.kind === 'lost') return { kind: 'silent' };
    this.keepChannel(entry, wire);
    if (answer.kind === 'faulted') {
      return { kind: answer.fault === UpstreamFault.Misrouted ? 'silent' : 'alive' };
    }
    const status = this.driver.readStatus(answer.rows[0] ?? '');
    if (status === undefined) return { kind: 'alive' };
    return { kind: 'status', status, applied: answer.position };
  }

  private takeChannel(entry: UpstreamEntry): DriverConnection | undefined {
    const channel = this.channels.get(entry.id);
    if (channel === undefined) return undefined;
    clearTimeout(channel.timer);
    this.channels.delete(entry.id);
    if (!mayBeSameUpstream(channel.entry, entry)) channel.wire.close();
    return channel.wire.usable ? channel.wire : undefined;
  }

  private keepChannel(entry: UpstreamEntry, wire: DriverConnection): void {
    const { id } = entry;
    const held = this.channels.get(id);
    if (held !== undefined) {
      wire.close();
      return;
    }
    const timer = setTimeout(() => {
      this.channels.delete(id);
      wire.close();
    }, IDLE_MS);
    this.channels.set(id, { wire, entry, timer });
  }
}

/** Result of a probe whose connection could not be opened, by the step that failed. */
function resultKindOf(failed: Step): 'alive' | 'unserved' | 'silent' {
  if (failed === Step.UpstreamAdmission) return 'alive';
  return failed === Step.UpstreamStart ? 'unserved' : 'silent';
}
