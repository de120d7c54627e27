/**
 * Questions to other hosts and their answers, matched by id, each with a time limit.
 */
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { PeerAddress, PeerHandler, PeerLink, PeerNetwork } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** A frame that answers a question. */
type ReplyFrame = Extract<Frame, { readonly id: number }>;

interface Pending {
  readonly link: PeerLink;
  readonly settle: (result: Result<ReplyFrame, GladespoolError>) => void;
}

/** Asks other hosts. */
export class PeerCalls implements PeerHandler {
  private readonly pending = new Map<number, Pending>();
  private nextId = 1;

  constructor(private readonly network: PeerNetwork) {}

  /** Sends the frame that `build` makes for a fresh id, and waits for the answer. */
  async ask(
    peer: PeerAddress,
    build: (id: number) => Frame,
    timeoutMs: number,
  ): Promise<Result<ReplyFrame, GladespoolError>> {
    const startedAt = performance.now();
    const link = await within(this.network.linkTo(peer), timeoutMs);
    if (link === undefined) return err(silent(peer, 'no link in time'));
    if (link.isErr()) return err(link.error);
    const id = this.nextId;
    this.nextId += 1;
    const leftMs = Math.max(1, startedAt + timeoutMs - performance.now());
    return this.exchange(peer, link.value, id, build(id), leftMs);
  }

  /** Sends a frame that needs no answer; false when it could not be sent. */
  tell(peer: PeerAddress, frame: Frame): Promise<boolean> {
    return this.network.sendTo(peer, frame);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (!isReply(frame)) return;
    const waiting = this.pending.get(frame.id);
    if (waiting !== undefined) waiting.settle(ok(frame));
    else giveBack(link, frame);
  }

  onLost(link: PeerLink): void {
    for (const waiting of [...this.pending.values()]) {
      if (waiting.link !== link) continue;
      waiting.settle(err(silent({ host: link.host, address: '', port: 0 }, 'link was lost')));
    }
  }

  private exchange(
    peer: PeerAddress,
    link: PeerLink,
    id: number,
    frame: Frame,
    timeoutMs: number,
  ): Promise<Result<ReplyFrame, GladespoolError>> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        settle(err(silent(peer, 'no answer in time')));
      }, timeoutMs);
      const settle = (result: Result<ReplyFrame, GladespoolError>): void => {
        clearTimeout(timer);
        this.pending.delete(id);
        resolve(result);
      };
      this.pending.set(id, { link, settle });
      link.send(frame);
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
  const place = { step: Step.PeerExchange, peer: `${peer.host}@${peer.address}:${peer.port}` };
  return gladespoolError(place, message);
}

async function within<Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => {
      resolve(undefined);
    }, timeoutMs);
  });
  const first = await Promise.race([promise, late]);
  clearTimeout(timer);
  return first;
}
