/**
 * Asks upstreams for their status on connections of its own, so that a full pool or a dead pooled
 * connection does not pass for a dead upstream.
 */
import type { GroupId, Position, UpstreamId } from '@gladespool/coordination';
import { mayBeSameUpstream, Step, UpstreamFault } from '@gladespool/coordination';
import type { UpstreamEntry } from '../model/catalog.js';
import type { UpstreamDriver, UpstreamStatus, DriverConnection } from '../model/upstream-driver.js';

/** The status that an upstream told. */
export interface StatusResult {
  readonly kind: 'status';
  readonly status: UpstreamStatus;
  /** Position up to which its reads show the log; undefined if it did not tell. */
  readonly applied: Position | undefined;
}

/** What a probe found. */
export type ProbeResult =
  | StatusResult
  /** It answers, but gave no status. */
  | { readonly kind: 'alive' }
  /** It accepted the connection and did not serve it in time. */
  | { readonly kind: 'unserved' }
  | { readonly kind: 'silent' };

/** Time after which an unused connection is closed, milliseconds: they count against the budget. */
const IDLE_MS = 1500;

interface Channel {
  readonly wire: DriverConnection;
  /** Entry of the upstream that it was opened to. */
  readonly entry: UpstreamEntry;
  timer: NodeJS.Timeout;
}

/** Probes of one host. */
export class UpstreamProbe {
  private readonly channels = new Map<UpstreamId, Channel>();

  constructor(
    private readonly driver: UpstreamDriver,
    private readonly onConnected: () => void,
  ) {}

  /** Asks one upstream within `timeoutMs`. */
  async ask(entry: UpstreamEntry, group: GroupId, timeoutMs: number): Promise<ProbeResult> {
    const held = this.takeChannel(entry);
    if (held !== undefined) return this.askOn(held, entry, timeoutMs);
    const startedAt = performance.now();
    const wire = await this.driver.connect(entry, group, timeoutMs, undefined);
    if (wire.isErr()) return { kind: kindOf(wire.error.step) };
    this.onConnected();
    const leftMs = Math.max(1, timeoutMs - (performance.now() - startedAt));
    return this.askOn(wire.value, entry, leftMs);
  }

  /** Closes the connections kept. */
  stop(): void {
    for (const { wire, timer } of this.channels.values()) {
      clearTimeout(timer);
      wire.close();
    }
    this.channels.clear();
  }

  private async askOn(
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

/** What a connection tells that could not be opened. */
function kindOf(failed: Step): 'alive' | 'unserved' | 'silent' {
  if (failed === Step.UpstreamAdmission) return 'alive';
  return failed === Step.UpstreamStart ? 'unserved' : 'silent';
}
