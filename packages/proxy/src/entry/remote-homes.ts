/**
 * Requests in flight to homes on other hosts. An answer is accepted only on the link, and with the id
 * and epoch, of its request; late, duplicate and unknown answers are dropped.
 */
import type { GroupId, Member } from '@gladespool/coordination';
import { RefusalReason, refuse } from '@gladespool/coordination';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind, RunIntent, TimeLimit } from '@gladespool/protocol';
import type { RunOutcome, RunRequest } from '../home/run-request.js';
import type { PeerHandler, PeerLink, PeerNetwork } from '@gladespool/peers';

interface Pending {
  readonly link: PeerLink;
  readonly intent: RunIntent;
  readonly settle: (outcome: RunOutcome) => void;
}

/** Time after a request's deadline at which the wait for its answer ends, milliseconds. */
const ANSWER_GRACE_MS = 500;

/** Client of the homes on other hosts. */
export class RemoteHomes implements PeerHandler {
  private readonly pending = new Map<number, Pending>();
  private lastId = 0;

  constructor(
    private readonly network: PeerNetwork,
    private readonly epoch: number,
  ) {
    network.addHandler(this);
  }

  /** Number of requests that await an answer. */
  get inFlight(): number {
    return this.pending.size;
  }

  /** Runs a request on the home at `member`; cancellation is forwarded to it. */
  async run(member: Member, req: RunRequest): Promise<RunOutcome> {
    const link = await this.network.linkTo(member);
    if (link.isErr()) return refusalOf(RefusalReason.PeerUnreachable);
    if (req.cancel.aborted) return refusalOf(RefusalReason.Canceled);
    this.lastId += 1;
    const id = this.lastId;
    const timeoutMs = Math.max(0, req.deadlineAt - performance.now());
    return new Promise((resolve) => {
      const onCancel = (): void => {
        link.value.send({ kind: FrameKind.Cancel, id });
      };
      const limit = new TimeLimit(timeoutMs + ANSWER_GRACE_MS, () => {
        this.settle(id, lostOutcome(req.intent));
      });
      const settle = (outcome: RunOutcome): void => {
        limit.clear();
        req.cancel.removeEventListener('abort', onCancel);
        resolve(outcome);
      };
      this.pending.set(id, { link: link.value, intent: req.intent, settle });
      req.cancel.addEventListener('abort', onCancel, { once: true });
      const sent = link.value.send(this.frameOf(id, req, timeoutMs));
      if (!sent) this.settle(id, refusalOf(RefusalReason.PeerUnreachable));
    });
  }

  /** Notifies a home that the caller of an open transaction has disconnected. */
  abandon(member: Member, group: GroupId, transaction: number): void {
    void this.network.sendTo(member, { kind: FrameKind.Abandon, group, transaction });
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.Answer || frame.epoch !== this.epoch) return;
    if (this.pending.get(frame.id)?.link !== link) return;
    this.settle(frame.id, outcomeOf(frame));
  }

  onLost(link: PeerLink): void {
    for (const [id, pending] of [...this.pending]) {
      if (pending.link === link) this.settle(id, lostOutcome(pending.intent));
    }
  }

  private settle(id: number, outcome: RunOutcome): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    pending.settle(outcome);
  }

  private frameOf(id: number, req: RunRequest, timeoutMs: number): FrameOf<FrameKind.Run> {
    const { requestId, repeatable, maxAgeMs, priority } = req.marks;
    return {
      kind: FrameKind.Run,
      id,
      epoch: this.epoch,
      group: req.group,
      intent: req.intent,
      transaction: req.transaction,
      messages: req.messages,
      floor: req.floor,
      barrier: req.barrier,
      marks: {
        repeatable,
        ...(requestId === undefined ? {} : { requestId }),
        ...(maxAgeMs === undefined ? {} : { maxAgeMs }),
        ...(priority === undefined ? {} : { priority }),
      },
      deadlineMs: Math.floor(timeoutMs),
    };
  }
}

function outcomeOf(frame: FrameOf<FrameKind.Answer>): RunOutcome {
  if (frame.reason !== undefined) {
    return { kind: 'refusal', refusal: refuse(frame.reason, frame.detail) };
  }
  return {
    kind: 'answer',
    bytes: Buffer.from(frame.bytes),
    status: frame.status,
    transaction: frame.transaction,
    position: frame.position,
    replica: frame.replica,
  };
}

function lostOutcome(intent: RunIntent): RunOutcome {
  if (intent === RunIntent.Read || intent === RunIntent.BeginReadOnly) {
    return refusalOf(RefusalReason.UpstreamLostReading);
  }
  const open = intent === RunIntent.Continue || intent === RunIntent.Begin;
  return refusalOf(open ? RefusalReason.TransactionLost : RefusalReason.PeerLost);
}

function refusalOf(reason: RefusalReason): RunOutcome {
  return { kind: 'refusal', refusal: refuse(reason) };
}
