/**
 * An authenticated link between two hosts that carries frames in both directions. A link that violates the protocol is
 * closed and reported once.
 */
import type { Socket } from 'node:net';
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Frame, FrameOf } from '@gladespool/protocol';
import {
  verifyProof,
  createNonce,
  encodeFrame,
  FrameDecoder,
  FrameKind,
  HandshakeSide,
  PEER_PROTOCOL_VERSION,
  createProof,
} from '@gladespool/protocol';

/** Identity and key that a host uses to open links. */
export interface LinkIdentity {
  readonly host: string;
  readonly az: string;
  readonly key: Buffer;
  /** Start time of the process; used as the epoch of the link. */
  readonly incarnation: number;
}

/** Events of a link. */
export interface LinkListener {
  onReady(link: PeerLink): void;
  onFrame(link: PeerLink, frame: Frame): void;
  onClose(link: PeerLink, error: GladespoolError): void;
}

/** Counts bytes sent to hosts of a zone. */
export type SentBytesCounter = (bytes: number, az: string) => void;

/** Options of a link. */
export interface PeerLinkOptions {
  readonly socket: Socket;
  readonly side: HandshakeSide;
  readonly identity: LinkIdentity;
  readonly listener: LinkListener;
  readonly handshakeTimeoutMs: number;
  /** Counts sent bytes that do not belong to caller requests. */
  readonly onControlBytes: (bytes: number) => void;
  /** Counts all bytes sent once the zone of the other host is known; unset if they are not counted. */
  readonly onSentBytes?: SentBytesCounter | undefined;
}

const REQUEST_KINDS: ReadonlySet<FrameKind> = new Set([
  FrameKind.Abandon,
  FrameKind.Answer,
  FrameKind.Cancel,
  FrameKind.ForwardRequest,
  FrameKind.ForwardReply,
  FrameKind.ForwardRollback,
  FrameKind.Run,
]);

/** A link to another host. */
export class PeerLink {
  private readonly decoder: FrameDecoder;
  private readonly nonce = createNonce();
  private peerNonce: Uint8Array = Buffer.alloc(0);
  private readonly timer: NodeJS.Timeout;
  private state: 'handshake' | 'ready' | 'closed' = 'handshake';
  private remoteHost = '';
  /** Zone of the other host; empty until the handshake reveals it. */
  private remoteAz = '';

  constructor(private readonly options: PeerLinkOptions) {
    const { socket } = options;
    this.decoder = new FrameDecoder(`${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`);
    this.timer = setTimeout(() => {
      this.end('handshake timed out');
    }, options.handshakeTimeoutMs);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('error', (cause) => {
      this.end('socket error', cause);
    });
    socket.on('close', () => {
      this.end('link closed by peer');
    });
    if (options.side === HandshakeSide.Dialer) this.sendHello();
  }

  /** Name of the other host; empty until the handshake reveals it. */
  get host(): string {
    return this.remoteHost;
  }

  /** Whether the handshake is complete and the link is open. */
  get ready(): boolean {
    return this.state === 'ready';
  }

  /** Sends a frame; false if the link is not ready. */
  send(frame: Frame): boolean {
    if (this.state !== 'ready') return false;
    this.write(frame);
    return true;
  }

  /** Closes the link. */
  close(reason: string): void {
    this.end(reason);
  }

  private write(frame: Frame): void {
    const bytes = encodeFrame(frame);
    if (!REQUEST_KINDS.has(frame.kind)) this.options.onControlBytes(bytes.length);
    if (this.remoteAz !== '') this.options.onSentBytes?.(bytes.length, this.remoteAz);
    this.options.socket.write(bytes);
  }

  private receive(chunk: Buffer): void {
    const frames = this.decoder.push(chunk);
    if (frames.isErr()) {
      this.end('invalid frame', frames.error);
      return;
    }
    for (const frame of frames.value) {
      if (this.state === 'closed') return;
      if (this.state === 'ready') this.options.listener.onFrame(this, frame);
      else this.handleHandshake(frame);
    }
  }

  private handleHandshake(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Hello:
        this.handleHello(frame);
        return;
      case FrameKind.Challenge:
        this.handleChallenge(frame);
        return;
      case FrameKind.Proof:
        this.handleProof(frame);
        return;
      case FrameKind.Ready:
        this.handleReady();
        return;
      default:
        this.end(`frame ${frame.kind} before the handshake was complete`);
    }
  }

  private sendHello(): void {
    const { host, az } = this.options.identity;
    this.write({
      kind: FrameKind.Hello,
      version: PEER_PROTOCOL_VERSION,
      host,
      az,
      nonce: this.nonce,
    });
  }

  private handleHello(hello: FrameOf<FrameKind.Hello>): void {
    if (this.options.side !== HandshakeSide.Listener || this.remoteHost !== '') {
      this.end('unexpected hello');
      return;
    }
    if (!this.checkVersion(hello.version)) return;
    this.remoteHost = hello.host;
    this.remoteAz = hello.az;
    this.peerNonce = hello.nonce;
    const { host, az, key } = this.options.identity;
    const input = { host, dialerNonce: hello.nonce, listenerNonce: this.nonce };
    const mac = createProof(key, { ...input, side: HandshakeSide.Listener });
    const version = PEER_PROTOCOL_VERSION;
    this.write({ kind: FrameKind.Challenge, version, host, az, nonce: this.nonce, mac });
  }

  private handleChallenge(challenge: FrameOf<FrameKind.Challenge>): void {
    if (this.options.side !== HandshakeSide.Dialer) {
      this.end('unexpected challenge');
      return;
    }
    if (!this.checkVersion(challenge.version)) return;
    const { host, key } = this.options.identity;
    const nonces = { dialerNonce: this.nonce, listenerNonce: challenge.nonce };
    const claimed = { ...nonces, host: challenge.host, side: HandshakeSide.Listener };
    if (!verifyProof(key, claimed, challenge.mac)) {
      this.end('listener does not hold the peer key');
      return;
    }
    this.remoteHost = challenge.host;
    this.remoteAz = challenge.az;
    const mac = createProof(key, { ...nonces, host, side: HandshakeSide.Dialer });
    this.write({ kind: FrameKind.Proof, mac });
  }

  private handleProof(proof: FrameOf<FrameKind.Proof>): void {
    const { key, incarnation } = this.options.identity;
    const input = {
      side: HandshakeSide.Dialer,
      host: this.remoteHost,
      dialerNonce: this.peerNonce,
      listenerNonce: this.nonce,
    };
    const expected = this.options.side === HandshakeSide.Listener && this.remoteHost !== '';
    if (!expected || !verifyProof(key, input, proof.mac)) {
      this.end('dialer does not hold the peer key');
      return;
    }
    this.write({ kind: FrameKind.Ready, epoch: incarnation });
    this.completeHandshake();
  }

  private checkVersion(version: number): boolean {
    if (version === PEER_PROTOCOL_VERSION) return true;
    this.end(`peer uses protocol version ${version}, this host ${PEER_PROTOCOL_VERSION}`);
    return false;
  }

  /** Only the listener sends Ready, and only to a dialer that has proved the key. */
  private handleReady(): void {
    if (this.options.side === HandshakeSide.Dialer) this.completeHandshake();
    else this.end('dialer skipped its proof');
  }

  private completeHandshake(): void {
    if (this.state !== 'handshake' || this.remoteHost === '') {
      this.end('handshake frames out of order');
      return;
    }
    clearTimeout(this.timer);
    this.state = 'ready';
    this.options.listener.onReady(this);
  }

  private end(message: string, cause?: unknown): void {
    if (this.state === 'closed') return;
    const step = this.state === 'ready' ? Step.PeerExchange : Step.PeerHandshake;
    this.state = 'closed';
    clearTimeout(this.timer);
    this.options.socket.destroy();
    const { remoteAddress, remotePort } = this.options.socket;
    const peer = this.remoteHost || `${remoteAddress ?? ''}:${remotePort ?? 0}`;
    this.options.listener.onClose(this, gladespoolError({ step, peer }, message, { cause }));
  }
}
