/**
 * Upstreams whose entries have disappeared from the store, and their expiry in stages.
 */
import type { ExpiryRules, UpstreamId } from '@gladespool/coordination';
import { ExpiryStage, expiryStage } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { Departures } from './departures.js';

/** An upstream whose entry has disappeared. */
interface Expiry {
  readonly entry: UpstreamEntry;
  /** Local time from which the missing time is counted. */
  since: number;
  /** Stage at the last update. */
  stage: ExpiryStage;
}

/** The upstreams without an entry that one host knows of. */
export class ExpiredUpstreams {
  private readonly expiries = new Map<UpstreamId, Expiry>();

  constructor(
    private readonly rules: ExpiryRules,
    private readonly departures: Departures,
    private readonly log: Logger,
  ) {}

  /** Entries of the upstreams that have not expired yet; those past the first stage count as draining. */
  get entries(): readonly UpstreamEntry[] {
    return [...this.expiries.values()].map(({ entry, stage }) =>
      stage === ExpiryStage.Present ? entry : { ...entry, draining: true },
    );
  }

  /** Starts the expiry of an upstream whose entry has disappeared; it stays in use at first. */
  add(entry: UpstreamEntry, now: number): void {
    this.expiries.set(entry.id, { entry, since: now, stage: ExpiryStage.Present });
    this.log.info('upstream-entry-missing', { upstream: entry.id, group: entry.group });
  }

  /** The last entry of an upstream whose entry has disappeared; undefined if it has an entry or has expired. */
  entry(id: UpstreamId): UpstreamEntry | undefined {
    return this.expiries.get(id)?.entry;
  }

  /** Ends the expiry of an upstream that has an entry again, which may be of another upstream with the same id. */
  remove(id: UpstreamId): void {
    this.expiries.delete(id);
  }

  /**
   * Updates the stage of each upstream at `now`. While the cached documents are not current, an entry that was
   * written again would not be seen, so the missing time starts over.
   *
   * @returns whether any stage has changed.
   */
  updateStages(current: boolean, now: number): boolean {
    let changed = false;
    for (const expiry of this.expiries.values()) {
      if (current) changed = this.advance(expiry, now) || changed;
      else expiry.since = now;
    }
    return changed;
  }

  private advance(expiry: Expiry, now: number): boolean {
    const missingMs = now - expiry.since;
    const stage = expiryStage(missingMs, this.rules);
    if (stage === expiry.stage) return false;
    expiry.stage = stage;
    const { id, group } = expiry.entry;
    this.log.info(`upstream-${stage}`, {
      upstream: id,
      group,
      missing_ms: Math.round(missingMs),
    });
    if (stage === ExpiryStage.Gone) {
      this.expiries.delete(id);
      this.departures.remove(id);
    }
    return true;
  }
}
