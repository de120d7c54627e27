/**
 * Encodes and decodes the jobs and outcomes that hosts exchange.
 */
import type { Refusal } from '@gladespool/coordination';
import { groupId, regionId, workspaceId } from '@gladespool/coordination';
import type { FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Job, StepJob } from '../home/job.js';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import type { Work } from '../model/statement.js';

type ForwardRequest = FrameOf<FrameKind.ForwardRequest>;
type ForwardReply = FrameOf<FrameKind.ForwardReply>;
type WireWork = NonNullable<ForwardRequest['work']>;
type WireRefusal = Extract<ForwardReply['outcome'], { readonly kind: 'refused' }>;
type WireRoute = NonNullable<ForwardRequest['route']>;

export function encodeWork(work: Work): WireWork {
  if (work.kind === 'text') return { access: work.access, text: work.text };
  const { access, shape } = work.prepared;
  return { access, shape, args: work.args };
}

/** Decodes work; undefined if the frame has none or it is incomplete. */
export function decodeWork(wire: WireWork | undefined): Work | undefined {
  if (wire === undefined) return undefined;
  const { access } = wire;
  if (wire.text !== undefined) return { kind: 'text', access, text: wire.text };
  if (wire.shape === undefined || wire.args === undefined) return undefined;
  return { kind: 'prepared', prepared: { access, shape: wire.shape }, args: wire.args };
}

/** Encodes the times and session values of a job; times are sent as ages, since the clocks of hosts differ. */
export function encodeTimes(
  job: Pick<Job, 'values' | 'arrivedAt'> & { readonly beganAt?: number },
  now: number,
): Pick<ForwardRequest, 'values' | 'beganMs' | 'arrivedMs'> {
  return {
    values: [...job.values],
    beganMs: Math.max(0, now - (job.beganAt ?? job.arrivedAt)),
    arrivedMs: Math.max(0, now - job.arrivedAt),
  };
}

/** Decodes the fields that a single statement and a begin have in common. */
export function decodeJob(frame: ForwardRequest, route: WireRoute, now: number): Job {
  return {
    route: decodeRoute(route),
    workspace: frame.workspace === undefined ? undefined : workspaceId(frame.workspace),
    ...(frame.regions && { regions: frame.regions.map(regionId) }),
    id: frame.request,
    values: new Map(frame.values),
    own: frame.own,
    beganAt: now - frame.beganMs,
    arrivedAt: now - frame.arrivedMs,
  };
}

/** Decodes a statement inside a transaction. */
export function decodeStep(frame: ForwardRequest, work: Work, now: number): StepJob {
  return {
    id: frame.request,
    work,
    values: new Map(frame.values),
    arrivedAt: now - frame.arrivedMs,
  };
}

function decodeRoute(wire: WireRoute): Route {
  return {
    ...wire,
    group: groupId(wire.group),
  };
}

/** Encodes the reply to request `id`. */
export function encodeReply(
  id: number,
  transaction: number,
  outcome: Outcome | undefined,
): ForwardReply {
  const base = { kind: FrameKind.ForwardReply, id, transaction } as const;
  if (outcome === undefined) return base;
  if (outcome.kind === 'refused') {
    return { ...base, outcome: { kind: 'refused', ...outcome.refusal } };
  }
  if (outcome.kind === 'faulted') return { ...base, outcome };
  const { rows, signature, committed } = outcome;
  const completed = { kind: 'completed', rows, signature } as const;
  return { ...base, outcome: committed === undefined ? completed : { ...completed, committed } };
}

/** Decodes an outcome; undefined if the reply has none. */
export function decodeOutcome(wire: ForwardReply['outcome']): Outcome | undefined {
  switch (wire?.kind) {
    case undefined:
      return undefined;
    case 'refused':
      return { kind: 'refused', refusal: decodeRefusal(wire) };
    case 'faulted':
      return wire;
    case 'completed':
      return { ...wire, committed: wire.committed };
  }
}

function decodeRefusal(wire: WireRefusal): Refusal {
  const { reason, detail, retryAfterMs } = wire;
  return retryAfterMs === undefined ? { reason, detail } : { reason, detail, retryAfterMs };
}
