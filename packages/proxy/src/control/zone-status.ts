/**
 * Reports which bundle version is in force in this zone: one small key, written by the zone's first
 * relay and only when it changes, so that the store's writes grow with zones, not with hosts.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import type { PlatformStore } from '@gladespool/platform';
import type { ZoneStatus } from '@gladespool/protocol';
import { encodeZoneStatus, zoneStatusKey } from '@gladespool/protocol';

/** Options of the reporter. */
export interface ZoneStatusOptions {
  readonly az: AzId;
  readonly store: PlatformStore;
  /** Version in force here; 0 for none. */
  readonly version: () => number;
  readonly hostVersions: () => ReadonlyMap<HostId, number>;
  /** Whether this host is the one to report. */
  readonly reports: () => boolean;
  readonly intervalMs: number;
}

/** Hosts named as lagging at most; their number is told by the metric of each host. */
const MOST_NAMED = 20;

/** Writes the zone's report. */
export class ZoneStatusReporter {
  private written = '';
  private busy = false;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ZoneStatusOptions) {
    this.timer = setInterval(() => {
      void this.review();
    }, options.intervalMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async review(): Promise<void> {
    const status = this.options.reports() ? this.status() : undefined;
    if (status === undefined || status.version === 0 || this.busy) return;
    const text = encodeZoneStatus(status);
    if (text === this.written) return;
    this.busy = true;
    if (await this.write(text)) this.written = text;
    this.busy = false;
  }

  private status(): ZoneStatus {
    const version = this.options.version();
    const hosts = [...this.options.hostVersions()];
    const lagging = hosts.filter(([, held]) => held < version).map(([host]) => String(host));
    const named = lagging.sort().slice(0, MOST_NAMED);
    return { az: this.options.az, version, hosts: hosts.length, lagging: named };
  }

  private async write(text: string): Promise<boolean> {
    const { store, az } = this.options;
    const key = zoneStatusKey(az);
    const held = await store.read(key);
    if (held.isErr()) return false;
    const swapped = await store.swap([{ key, value: text, expected: held.value?.revision ?? 0 }]);
    return swapped.isOk();
  }
}
