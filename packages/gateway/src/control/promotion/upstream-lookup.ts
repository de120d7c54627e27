/**
 * Where an upstream stands by what the board shows now.
 */
import type { UpstreamId, UpstreamIdentity } from '@gladespool/coordination';
import { mayBeSameUpstream } from '@gladespool/coordination';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { UpstreamEntry } from '../../model/catalog.js';

/** The entry of an upstream; undefined when it has none, or tells of another one that started since. */
export function currentEntryOf(
  board: GatewayBoard,
  upstream: UpstreamIdentity,
): UpstreamEntry | undefined {
  const entry = board.upstreams.get(upstream.id);
  return entry !== undefined && mayBeSameUpstream(upstream, entry) ? entry : undefined;
}

/** Whether an upstream lies in a zone that is evacuated now. */
export function isInEvacuatedZone(board: GatewayBoard, upstream: UpstreamId): boolean {
  const entry = board.upstreams.get(upstream);
  return entry !== undefined && board.evacuations.has(entry.az);
}
