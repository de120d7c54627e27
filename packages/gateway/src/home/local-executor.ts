/**
 * Runs the work of sessions on this host's own homes.
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

/** Upstreams tried for the begin of one transaction at most. */
const MAX_BEGINS = 4;

/** Homes of this host. */
export class LocalExecutor implements Executor {
  private readonly homes = new Map<GroupId, GroupHome>();

  constructor(private readonly context: HomeContext) {
    const review = (): void => {
      for (const home of this.homes.values()) home.refreshPools();
    };
    context.board.onChange(BoardSection.Hosts, review);
    context.board.onChange(BoardSection.Upstreams, review);
    context.board.onChange(BoardSection.Catalog, review);
  }

  /** The home of a group, opened when it is first asked for. */
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
    for (let count = 0; count < MAX_BEGINS; count += 1) {
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
      if (!mayTryAgain(last, job)) break;
    }
    return err(last);
  }

  /** Gives back at `now` what this host holds without being a home. */
  tick(now: number): void {
    for (const home of this.homes.values()) home.tick(now);
  }

  /** Closes every connection that is not in use. */
  stop(): void {
    for (const home of this.homes.values()) home.stop();
  }

  /** A transaction that may write begins at the primary, one that only reads where a read may run. */
  private beginTarget(
    home: GroupHome,
    job: BeginJob,
    tried: ReadonlySet<UpstreamId>,
    now: number,
  ): Result<ReadTarget, Refusal> {
    return job.readOnly ? planRead(home, job, tried, now) : planAtPrimary(home, job, now);
  }
}

/** A begin has run nothing yet, so it may be tried again; at the primary only if it shed it. */
function mayTryAgain(last: Outcome, job: BeginJob): boolean {
  if (last.kind === 'faulted') return job.readOnly && NOT_RUN_FAULTS.has(last.fault);
  return job.readOnly && last.kind === 'refused';
}
