/**
 * Upstreams whose entries have disappeared from the store, and their expiry in stages.
 */
import type { ExpiryRules, UpstreamId } from '@gladespool/coordination';
import {
  countedSince,
  ExpiryStage,
  expiryStage,
  mayHaveLapsed,
  missingUntil,
} from '@gladespool/coordination';
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
   * Updates the stage of each upstream at `now`. While the store is unavailable, live upstreams can't write their
   * entries again, so the missing time starts over unless the upstream counts as leaving already.
   *
   * @param confirmedAt latest local time at which the cached documents were current
   * @returns whether any stage has changed.
   */
  updateStages(confirmedAt: number, now: number): boolean {
    let changed = false;
    for (const expiry of this.expiries.values()) {
      if (mayHaveLapsed(confirmedAt, now)) this.startOver(expiry, now);
      else changed = this.advance(expiry, missingUntil(confirmedAt, now), now) || changed;
    }
    return changed;
  }

  private startOver(expiry: Expiry, now: number): void {
    const { entry, stage, since } = expiry;
    expiry.since = countedSince(stage, since, now, this.rules);
    if (stage === ExpiryStage.Present) this.departures.postpone(entry, now);
  }

  private advance(expiry: Expiry, until: number, now: number): boolean {
    const missingMs = until - expiry.since;
    const stage = expiryStage(missingMs, this.rules);
    if (stage === expiry.stage || stage === ExpiryStage.Present) return false;
    expiry.stage = stage;
    const { id, group } = expiry.entry;
    this.log.info(`upstream-${stage}`, {
      upstream: id,
      group,
      missing_ms: Math.round(missingMs),
    });
    if (stage === ExpiryStage.Gone) {
      this.expiries.delete(id);
      this.departures.end(id, now);
    }
    return true;
  }
}
