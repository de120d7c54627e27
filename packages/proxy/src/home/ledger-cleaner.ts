/**
 * Forgets request ids that are older than the keep time. Of all homes of a group one cleans: the
 * first of the zone that its primary is in.
 */
import type { GroupHome } from './group-home.js';
import { homesOf, Priority, activeHosts } from '@gladespool/coordination';
import { planQueries } from './exchange-plan.js';
import { forgetSql } from './request-ledger.js';

/** Bounds of cleaning. */
export interface LedgerRules {
  /** Time for which ids are kept, milliseconds of the hosts' clocks. */
  readonly keepMs: number;
  readonly homesPerGroup: number;
}

const CLEANS_PER_KEEP_TIME = 20;
const MOST_OFTEN_MS = 50;
const LEAST_OFTEN_MS = 600_000;
const TIMEOUT_MS = 10_000;

/** Cleans the ledgers of the homes that a host holds. */
export class LedgerCleaner {
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly homes: () => readonly GroupHome[],
    private readonly rules: LedgerRules,
  ) {
    const wanted = rules.keepMs / CLEANS_PER_KEEP_TIME;
    const intervalMs = Math.min(LEAST_OFTEN_MS, Math.max(MOST_OFTEN_MS, wanted));
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
    const lease = await home.pool(primary).acquire(Priority.Background, now, TIMEOUT_MS);
    if (lease.isErr()) return;
    const plan = planQueries([forgetSql(Date.now() - this.rules.keepMs)]);
    await lease.value.connection.exchange(plan.payload, plan.segments, TIMEOUT_MS);
    lease.value.release();
  }
}
