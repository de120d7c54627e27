/**
 * Reports the installed bundle version of this zone. Only the zone's first relay writes the report,
 * to one small key and only on changes, so that the number of store writes grows with the number of
 * zones rather than hosts.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import type { PlatformStore } from '@gladespool/platform';
import type { ZoneStatus } from '@gladespool/protocol';
import { encodeZoneStatus, zoneStatusKey } from '@gladespool/protocol';

/** Options of the reporter. */
export interface ZoneStatusOptions {
  readonly az: AzId;
  readonly store: PlatformStore;
  /** Version of the bundle installed on this host; 0 if there is none. */
  readonly version: () => number;
  readonly hostVersions: () => ReadonlyMap<HostId, number>;
  /** Whether this host writes the report of its zone. */
  readonly reports: () => boolean;
  readonly intervalMs: number;
}

/** Maximum number of lagging hosts named in a report; the metrics of the hosts show all of them. */
const MOST_NAMED = 20;

/** Writes the status report of the zone to the store. */
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
