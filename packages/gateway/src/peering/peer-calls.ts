/**
 * Questions to other hosts and their answers, matched by id, each with a time limit. The error of a
 * question tells by its step whether it may have reached the other host.
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

/** A frame that answers a question. */
type ReplyFrame = Extract<Frame, { readonly id: number }>;

interface Pending {
  readonly link: PeerLink;
  readonly settle: (result: Result<ReplyFrame, GladespoolError>) => void;
}

/** Times of a question, beside the longest wait for its answer. */
export interface RequestTimes {
  /** Longest wait for a link to the host, part of the wait for the answer, milliseconds. */
  readonly linkTimeoutMs?: number;
  /** Time for which the other host may hold the answer back until it has news, milliseconds. */
  readonly longPollMs?: number;
}

/** Longest wait for a link to a host that is tried again, milliseconds: far above three round trips. */
const REDIAL_TIMEOUT_MS = 1000;

/** Whether the question behind `error` may have reached the other host. */
export function mayHaveArrived(error: GladespoolError): boolean {
  return error.step === Step.PeerExchange;
}

/** Asks other hosts. */
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

  /** Sends the frame that `build` makes for a fresh id, and waits for the answer. */
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

  /** Whether a host answers as far as is known at `now`; one that did not is tried again meanwhile. */
  isReachable(peer: PeerAddress, now: number): boolean {
    if (this.liveness.shouldRedial(peer, now)) void this.open(peer, REDIAL_TIMEOUT_MS);
    return this.liveness.isReachable(peer, now);
  }

  /** Looks after links that owe an answer at `now`. */
  tick(now: number): void {
    this.liveness.tick(now);
  }

  /** Sends a frame that needs no answer; false when it could not be sent. */
  notify(peer: PeerAddress, frame: Frame): Promise<boolean> {
    return this.network.sendTo(peer, frame);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    this.liveness.noteFrame(link);
    if (!isReply(frame)) return;
    const waiting = this.pending.get(frame.id);
    if (waiting !== undefined) waiting.settle(ok(frame));
    else giveBack(link, frame);
  }

  onLost(link: PeerLink): void {
    this.liveness.noteLost(link);
    for (const waiting of [...this.pending.values()]) {
      if (waiting.link !== link) continue;
      waiting.settle(err(silent({ host: link.host, address: '', port: 0 }, 'link was lost')));
    }
  }

  private async open(
    peer: PeerAddress,
    timeoutMs: number,
  ): Promise<Result<PeerLink, GladespoolError>> {
    const link = await within(this.network.linkTo(peer), timeoutMs);
    const now = performance.now();
    if (link?.isOk() === true) this.liveness.noteReached(peer.host);
    else this.liveness.noteUnreachable(peer.host, now);
    return link ?? err(errorOf(Step.PeerConnect, peer, 'no link in time'));
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
        settle(err(silent(peer, 'no answer in time')));
      });
      const settle = (result: Result<ReplyFrame, GladespoolError>): void => {
        limit.clear();
        this.pending.delete(id);
        resolve(result);
      };
      this.pending.set(id, { link, settle });
      if (!link.send(frame)) settle(err(errorOf(Step.PeerConnect, peer, 'link was closed')));
    });
  }
}

/** A transaction whose answer came too late has no owner here; the other host must not keep it. */
function giveBack(link: PeerLink, frame: ReplyFrame): void {
  if (frame.kind !== FrameKind.ForwardReply || frame.transaction === 0) return;
  link.send({ kind: FrameKind.ForwardRollback, transaction: frame.transaction });
}

function isReply(frame: Frame): frame is ReplyFrame {
  return frame.kind.endsWith('-reply') && 'id' in frame;
}

function silent(peer: PeerAddress, message: string): GladespoolError {
  return errorOf(Step.PeerExchange, peer, message);
}

function errorOf(step: Step, peer: PeerAddress, message: string): GladespoolError {
  return gladespoolError({ step, peer: `${peer.host}@${peer.address}:${peer.port}` }, message);
}

async function within<Value>(
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
