/**
 * Runs the statements and transactions of sessions on this host's own connections to the upstreams.
 */
import type { GroupId, Refusal, UpstreamId } from '@gladespool/coordination';
import { Access, RefusalReason, RetryReason } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import { BoardSection } from '../knowledge/board.js';
import type { Outcome } from '../model/outcome.js';
import { NOT_RUN_FAULTS, refused } from '../model/outcome.js';
import { accessOf } from '../model/statement.js';
import { awaitAuthority } from './await-authority.js';
import type { HomeContext } from './group-home.js';
import { GroupHome } from './group-home.js';
import type { BeginJob, Executor, OpenTransaction, StatementJob } from './job.js';
import { openTransaction } from './pinned-transaction.js';
import { runRead } from './read-flow.js';
import type { ReadTarget } from './read-plan.js';
import { planAtPrimary, planRead } from './read-plan.js';
import { runWrite } from './write-flow.js';

/** Maximum number of upstreams tried for the begin of one transaction. */
const MAX_BEGIN_TRIES = 4;

/** Executor that holds the homes of this host, one per group. */
export class LocalExecutor implements Executor {
  private readonly homes = new Map<GroupId, GroupHome>();

  constructor(private readonly context: HomeContext) {
    const refreshPools = (): void => {
      for (const home of this.homes.values()) home.refreshPools();
    };
    context.board.onChange(BoardSection.Hosts, refreshPools);
    context.board.onChange(BoardSection.Upstreams, refreshPools);
    context.board.onChange(BoardSection.Catalog, refreshPools);
  }

  /** Returns the home of a group; creates it on first use. */
  home(group: GroupId): GroupHome {
    const held = this.homes.get(group);
    if (held !== undefined) return held;
    const home = new GroupHome(group, this.context);
    this.homes.set(group, home);
    return home;
  }

  run(job: StatementJob): Promise<Outcome> {
    const home = this.home(job.route.group);
    return accessOf(job.work) === Access.Read ? runRead(home, job) : runWrite(home, job);
  }

  async begin(job: BeginJob): Promise<Result<OpenTransaction, Outcome>> {
    const home = this.home(job.route.group);
    const tried = new Set<UpstreamId>();
    let last: Outcome = refused(RefusalReason.NoPrimary, home.group);
    for (let count = 0; count < MAX_BEGIN_TRIES; count += 1) {
      const now = performance.now();
      if (now >= job.arrivedAt + job.route.timeoutMs) break;
      if (!job.readOnly && home.context.holds.isHeld(home.group, now)) {
        if (!(await awaitAuthority(home, job, now))) break;
      }
      const target = this.beginTarget(home, job, tried, performance.now());
      if (target.isErr()) {
        last = { kind: 'refused', refusal: target.error };
        if (!(await awaitAuthority(home, job, now))) break;
        continue;
      }
      const opened = await openTransaction(home, job, target.value);
      if (opened.isOk()) return opened;
      last = opened.error;
      tried.add(target.value.entry.id);
      this.context.metrics.retries.inc({ reason: RetryReason.ReadLost });
      if (!mayRetry(last, job)) break;
    }
    return err(last);
  }

  /** Runs the periodic checks of all homes at `now`. */
  tick(now: number): void {
    for (const home of this.homes.values()) home.tick(now);
  }

  /** Closes all idle connections. */
  stop(): void {
    for (const home of this.homes.values()) home.stop();
  }

  /**
   * A transaction that may write begins on the primary, a read-only one on any upstream that may serve the read.
   */
  private beginTarget(
    home: GroupHome,
    job: BeginJob,
    tried: ReadonlySet<UpstreamId>,
    now: number,
  ): Result<ReadTarget, Refusal> {
    return job.readOnly ? planRead(home, job, tried, now) : planAtPrimary(home, job, now);
  }
}

/**
 * Whether the begin, which has run nothing yet, is retried on another upstream; only read-only transactions are.
 */
function mayRetry(last: Outcome, job: BeginJob): boolean {
  if (last.kind === 'faulted') return job.readOnly && NOT_RUN_FAULTS.has(last.fault);
  return job.readOnly && last.kind === 'refused';
}
