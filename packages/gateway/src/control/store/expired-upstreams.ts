/**
 * Upstreams whose entries have vanished from the store, and what they count as meanwhile.
 */
import type { ExpiryRules, UpstreamId } from '@gladespool/coordination';
import { ExpiryStage, expiryStage } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { UpstreamEntry } from '../../model/catalog.js';

/** One vanished entry. */
interface Lapse {
  readonly entry: UpstreamEntry;
  /** Local time from which the entry counts as missing. */
  since: number;
  /** What the upstream counted as at the latest review. */
  stage: ExpiryStage;
}

/** The vanished entries that one host knows of. */
export class ExpiredUpstreams {
  private readonly lapses = new Map<UpstreamId, Lapse>();

  constructor(
    private readonly rules: ExpiryRules,
    private readonly log: Logger,
  ) {}

  /** The upstreams that are still used, as they are to be treated. */
  get entries(): readonly UpstreamEntry[] {
    return [...this.lapses.values()].map(({ entry, stage }) =>
      stage === ExpiryStage.Present ? entry : { ...entry, draining: true },
    );
  }

  /** Notes that an entry vanished; its upstream counts as before at first. */
  add(entry: UpstreamEntry, now: number): void {
    this.lapses.set(entry.id, { entry, since: now, stage: ExpiryStage.Present });
    this.log.info('upstream-entry-missing', { upstream: entry.id, group: entry.group });
  }

  /** The vanished entry of an upstream, as it was; undefined when it has one or is forgotten. */
  entry(id: UpstreamId): UpstreamEntry | undefined {
    return this.lapses.get(id)?.entry;
  }

  /** Notes that an upstream has an entry again, be it of another one under its id. */
  remove(id: UpstreamId): void {
    this.lapses.delete(id);
  }

  /**
   * Looks at what each upstream counts as at `now`. While the documents held are not those of the
   * store, no entry can come back, so the time does not run.
   *
   * @returns whether anything has changed.
   */
  updateStages(current: boolean, now: number): boolean {
    let changed = false;
    for (const lapse of this.lapses.values()) {
      if (current) changed = this.advance(lapse, now) || changed;
      else lapse.since = now;
    }
    return changed;
  }

  private advance(lapse: Lapse, now: number): boolean {
    const missingMs = now - lapse.since;
    const stage = expiryStage(missingMs, this.rules);
    if (stage === lapse.stage) return false;
    lapse.stage = stage;
    const { id, group } = lapse.entry;
    this.log.info(`upstream-${stage}`, {
      upstream: id,
      group,
      missing_ms: Math.round(missingMs),
    });
    if (stage === ExpiryStage.Gone) this.lapses.delete(id);
    return true;
  }
}
