/**
 * Requests to other hosts and their replies, matched by id, each with a timeout. The step of an error shows whether the
 * request may have reached the other host.
 */
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerAddress, PeerHandler, PeerLink, PeerNetwork } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind, TimeLimit } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { PeerLiveness } from './peer-liveness.js';

/** A frame that replies to a request. */
type ReplyFrame = Extract<Frame, { readonly id: number }>;

interface Pending {
  readonly link: PeerLink;
  readonly settle: (result: Result<ReplyFrame, GladespoolError>) => void;
}

/** Optional times of a request. */
export interface RequestTimes {
  /** Timeout for opening a link to the host, included in the timeout of the request, milliseconds. */
  readonly linkTimeoutMs?: number;
  /** Time for which the other host may delay the reply until it has changes to report, milliseconds. */
  readonly longPollMs?: number;
}

/** Timeout for opening a link to a host that is tried again, milliseconds: far above three round trips. */
const REDIAL_TIMEOUT_MS = 1000;

/** Whether the request that failed with `error` may have reached the other host. */
export function mayHaveArrived(error: GladespoolError): boolean {
  return error.step === Step.PeerExchange;
}

/** Sends requests and one-way messages to other hosts. */
export class PeerCalls implements PeerHandler {
  private readonly pending = new Map<number, Pending>();
  private readonly liveness: PeerLiveness;
  private nextId = 1;

  constructor(
    private readonly network: PeerNetwork,
    log: Logger,
  ) {
    this.liveness = new PeerLiveness(log);
  }

  /** Sends the frame that `build` returns for a new id, and waits for the reply. */
  async request(
    peer: PeerAddress,
    build: (id: number) => Frame,
    timeoutMs: number,
    { linkTimeoutMs = timeoutMs, longPollMs: heldMs = 0 }: RequestTimes = {},
  ): Promise<Result<ReplyFrame, GladespoolError>> {
    const startedAt = performance.now();
    const link = await this.open(peer, Math.min(timeoutMs, linkTimeoutMs));
    if (link.isErr()) return err(link.error);
    const id = this.nextId;
    this.nextId += 1;
    const now = performance.now();
    this.liveness.expectReply(link.value, now + heldMs);
    return this.exchange(peer, link.value, id, build(id), Math.max(1, startedAt + timeoutMs - now));
  }

  /** Whether a host is reachable as far as is known at `now`; an unreachable one is dialed again at intervals. */
  isReachable(peer: PeerAddress, now: number): boolean {
    if (this.liveness.shouldRedial(peer, now)) void this.open(peer, REDIAL_TIMEOUT_MS);
    return this.liveness.isReachable(peer, now);
  }

  /** Pings or closes links on which replies are overdue at `now`. */
  tick(now: number): void {
    this.liveness.tick(now);
  }

  /** Sends a frame that needs no reply; resolves to false if it could not be sent. */
  notify(peer: PeerAddress, frame: Frame): Promise<boolean> {
    return this.network.sendTo(peer, frame);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    this.liveness.noteFrame(link);
    if (!isReply(frame)) return;
    const waiting = this.pending.get(frame.id);
    if (waiting !== undefined) waiting.settle(ok(frame));
    else rollBackLateTransaction(link, frame);
  }

  onLost(link: PeerLink): void {
    this.liveness.noteLost(link);
    for (const waiting of [...this.pending.values()]) {
      if (waiting.link !== link) continue;
      waiting.settle(err(noReplyError({ host: link.host, address: '', port: 0 }, 'link was lost')));
    }
  }

  private async open(
    peer: PeerAddress,
    timeoutMs: number,
  ): Promise<Result<PeerLink, GladespoolError>> {
    const link = await withTimeout(this.network.linkTo(peer), timeoutMs);
    const now = performance.now();
    if (link?.isOk() === true) this.liveness.noteReached(peer.host);
    else this.liveness.noteUnreachable(peer.host, now);
    return link ?? err(peerError(Step.PeerConnect, peer, 'no link in time'));
  }

  private exchange(
    peer: PeerAddress,
    link: PeerLink,
    id: number,
    frame: Frame,
    timeoutMs: number,
  ): Promise<Result<ReplyFrame, GladespoolError>> {
    return new Promise((resolve) => {
      const limit = new TimeLimit(timeoutMs, () => {
        settle(err(noReplyError(peer, 'no answer in time')));
      });
      const settle = (result: Result<ReplyFrame, GladespoolError>): void => {
        limit.clear();
        this.pending.delete(id);
        resolve(result);
      };
      this.pending.set(id, { link, settle });
      if (!link.send(frame)) settle(err(peerError(Step.PeerConnect, peer, 'link was closed')));
    });
  }
}

/** Rolls back a transaction whose reply came too late: nothing uses it, so the other host must not keep it open. */
function rollBackLateTransaction(link: PeerLink, frame: ReplyFrame): void {
  if (frame.kind !== FrameKind.ForwardReply || frame.transaction === 0) return;
  link.send({ kind: FrameKind.ForwardRollback, transaction: frame.transaction });
}

function isReply(frame: Frame): frame is ReplyFrame {
  return frame.kind.endsWith('-reply') && 'id' in frame;
}

function noReplyError(peer: PeerAddress, message: string): GladespoolError {
  return peerError(Step.PeerExchange, peer, message);
}

function peerError(step: Step, peer: PeerAddress, message: string): GladespoolError {
  return gladespoolError({ step, peer: `${peer.host}@${peer.address}:${peer.port}` }, message);
}

async function withTimeout<Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  let limit: TimeLimit | undefined;
  const late = new Promise<undefined>((resolve) => {
    limit = new TimeLimit(timeoutMs, () => {
      resolve(undefined);
    });
  });
  const first = await Promise.race([promise, late]);
  limit?.clear();
  return first;
}
