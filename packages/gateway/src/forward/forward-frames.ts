/**
 * Jobs and outcomes as they travel between hosts.
 */
import type { Refusal } from '@gladespool/coordination';
import { groupId, regionId, workspaceId } from '@gladespool/coordination';
import type { FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Job, StepJob } from '../home/job.js';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import type { Work } from '../model/statement.js';

type ForwardAsk = FrameOf<FrameKind.ForwardRequest>;
type ForwardReply = FrameOf<FrameKind.ForwardReply>;
type WireWork = NonNullable<ForwardAsk['work']>;
type WireRefusal = Extract<ForwardReply['outcome'], { readonly kind: 'refused' }>;
type WireRoute = NonNullable<ForwardAsk['route']>;

/** Encodes work. */
export function encodeWork(work: Work): WireWork {
  if (work.kind === 'text') return { access: work.access, text: work.text };
  const { access, shape } = work.prepared;
  return { access, shape, args: work.args };
}

/** Decodes work; undefined when the frame has none that makes sense. */
export function decodeWork(wire: WireWork | undefined): Work | undefined {
  if (wire === undefined) return undefined;
  const { access } = wire;
  if (wire.text !== undefined) return { kind: 'text', access, text: wire.text };
  if (wire.shape === undefined || wire.args === undefined) return undefined;
  return { kind: 'prepared', prepared: { access, shape: wire.shape }, args: wire.args };
}

/** The times and values of a job, as every question carries them. */
export function encodeTimes(
  job: Pick<Job, 'values' | 'arrivedAt'> & { readonly beganAt?: number },
  now: number,
): Pick<ForwardAsk, 'values' | 'beganMs' | 'arrivedMs'> {
  return {
    values: [...job.values],
    beganMs: Math.max(0, now - (job.beganAt ?? job.arrivedAt)),
    arrivedMs: Math.max(0, now - job.arrivedAt),
  };
}

/** Decodes the parts of a job that a single statement and a begin share. */
export function decodeJob(ask: ForwardAsk, route: WireRoute, now: number): Job {
  return {
    route: decodeRoute(route),
    workspace: ask.workspace === undefined ? undefined : workspaceId(ask.workspace),
    ...(ask.regions && { regions: ask.regions.map(regionId) }),
    id: ask.request,
    values: new Map(ask.values),
    own: ask.own,
    beganAt: now - ask.beganMs,
    arrivedAt: now - ask.arrivedMs,
  };
}

/** Decodes a statement inside a transaction. */
export function decodeStep(ask: ForwardAsk, work: Work, now: number): StepJob {
  return { id: ask.request, work, values: new Map(ask.values), arrivedAt: now - ask.arrivedMs };
}

function decodeRoute(wire: WireRoute): Route {
  return {
    ...wire,
    group: groupId(wire.group),
  };
}

/** Encodes the answer to question `id`. */
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

/** Decodes an outcome; undefined when the answer has none. */
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
