/**
 * Looks up upstreams on the board.
 */
import type { UpstreamId, UpstreamIdentity } from '@gladespool/coordination';
import { mayBeSameUpstream } from '@gladespool/coordination';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { UpstreamEntry } from '../../model/catalog.js';

/** The entry of an upstream; undefined when it has none, or the entry belongs to a later start of it. */
export function currentEntryOf(
  board: GatewayBoard,
  upstream: UpstreamIdentity,
): UpstreamEntry | undefined {
  const entry = board.upstreams.get(upstream.id);
  return entry !== undefined && mayBeSameUpstream(upstream, entry) ? entry : undefined;
}

/** Whether an upstream lies in a zone that is being evacuated. */
export function isInEvacuatedZone(board: GatewayBoard, upstream: UpstreamId): boolean {
  const entry = board.upstreams.get(upstream);
  return entry !== undefined && board.evacuations.has(entry.az);
}
