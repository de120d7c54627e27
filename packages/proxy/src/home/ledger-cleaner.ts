/**
 * Deletes request ids that are older than the retention time. Only one home of a group does so: the
 * first home in the availability zone of the primary.
 */
import type { GroupHome } from './group-home.js';
import { homesOf, Priority, activeHosts } from '@gladespool/coordination';
import { planQueries } from './exchange-plan.js';
import { deleteExpiredSql } from './request-ledger.js';

/** Settings of the clean-up. */
export interface LedgerRules {
  /** Retention time of ids, milliseconds by the clocks of the hosts. */
  readonly keepMs: number;
  readonly homesPerGroup: number;
}

const CLEANUPS_PER_RETENTION_TIME = 20;
const MIN_INTERVAL_MS = 50;
const MAX_INTERVAL_MS = 600_000;
const CLEANUP_TIMEOUT_MS = 10_000;

/** Periodically cleans the request ledgers of the homes that a host holds. */
export class LedgerCleaner {
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly homes: () => readonly GroupHome[],
    private readonly rules: LedgerRules,
  ) {
    const targetIntervalMs = rules.keepMs / CLEANUPS_PER_RETENTION_TIME;
    const intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, targetIntervalMs));
    this.timer = setInterval(() => {
      for (const home of this.homes()) void this.clean(home);
    }, intervalMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async clean(home: GroupHome): Promise<void> {
    const { spec, record } = home;
    const primary = spec?.upstreams.find((upstream) => upstream.id === record?.primary);
    const { board } = home.context;
    if (primary?.az !== board.az) return;
    const hosts = activeHosts(board.members, board.az);
    const [first] = homesOf(home.group, hosts, this.rules.homesPerGroup);
    if (first !== board.host) return;
    const now = performance.now();
    const lease = await home.pool(primary).acquire(Priority.Background, now, CLEANUP_TIMEOUT_MS);
    if (lease.isErr()) return;
    const plan = planQueries([deleteExpiredSql(Date.now() - this.rules.keepMs)]);
    await lease.value.connection.exchange(plan.payload, plan.segments, CLEANUP_TIMEOUT_MS);
    lease.value.release();
  }
}
