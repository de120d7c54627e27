/**
 * Links of one host: one to each peer it talks to, opened on demand and shared. A link that the peer
 * has opened serves as well, so that a host which is asked by many does not open as many links itself.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { Frame } from '@gladespool/protocol';
import { HandshakeSide } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { LinkIdentity, SentBytesCounter } from './peer-link.js';
import { PeerLink } from './peer-link.js';

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
}

/** Takes frames and losses of any link. */
export interface PeerHandler {
  onFrame(link: PeerLink, frame: Frame): void;
  onLost(link: PeerLink): void;
}

/** Options of the network. */
export interface PeerNetworkOptions {
  readonly identity: LinkIdentity;
  readonly dial: (port: number, address: string) => Socket;
  readonly handshakeTimeoutMs: number;
  /** Counts bytes sent that don't belong to callers' requests. */
  readonly onControlBytes: (bytes: number) => void;
  /** Counts all bytes sent, by the zone of the other host; unset where nobody counts them. */
  readonly onSentBytes?: SentBytesCounter;
  readonly log: Logger;
}

type Opening = Promise<Result<PeerLink, GladespoolError>>;

/** All links of one host. */
export class PeerNetwork {
  private readonly outgoing = new Map<string, PeerLink>();
  /** The newest link that each peer has opened, by its name. */
  private readonly incoming = new Map<string, PeerLink>();
  private readonly opening = new Map<string, Opening>();
  private readonly links = new Set<PeerLink>();
  private readonly handlers: PeerHandler[] = [];
  private server: Server | undefined;
  private stopped = false;

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Port that peers reach this host at. */
  get port(): number {
    return (this.server?.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Adds a handler; each sees every frame and takes its own kinds. */
  addHandler(handler: PeerHandler): void {
    this.handlers.push(handler);
  }

  /** Starts to accept links. */
  async listen(address: string, port: number): Promise<void> {
    const server = createServer((socket) => {
      this.adopt(socket, HandshakeSide.Listener, () => undefined);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, address, resolve);
    });
    this.server = server;
  }

  /** The link to a peer, opened if there is none. */
  linkTo(peer: PeerAddress): Opening {
    const key = keyOf(peer);
    const held = this.outgoing.get(key);
    if (held?.ready === true) return Promise.resolve(ok(held));
    const opened = this.incoming.get(peer.host);
    if (opened?.ready === true) return Promise.resolve(ok(opened));
    const opening = this.opening.get(key);
    if (opening !== undefined) return opening;
    const started = this.open(peer, key);
    this.opening.set(key, started);
    void started.finally(() => this.opening.delete(key));
    return started;
  }

  /** Sends a frame to a peer, opening a link if needed; false when it could not be sent. */
  async sendTo(peer: PeerAddress, frame: Frame): Promise<boolean> {
    const link = await this.linkTo(peer);
    return link.isOk() && link.value.send(frame);
  }

  /** Closes every link and stops to accept. */
  async stop(): Promise<void> {
    this.stopped = true;
    for (const link of [...this.links]) link.close('host stops');
    const server = this.server;
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  private open(peer: PeerAddress, key: string): Opening {
    const place = { step: Step.PeerConnect, peer: `${peer.address}:${peer.port}` };
    if (this.stopped) return Promise.resolve(err(gladespoolError(place, 'host stops')));
    return new Promise((resolve) => {
      const socket = this.options.dial(peer.port, peer.address);
      const link = this.adopt(socket, HandshakeSide.Dialer, (result) => {
        if (result.isOk()) this.outgoing.set(key, link);
        resolve(result);
      });
    });
  }

  private adopt(
    socket: Socket,
    side: HandshakeSide,
    onSettled: (result: Result<PeerLink, GladespoolError>) => void,
  ): PeerLink {
    const link = new PeerLink({
      socket,
      side,
      identity: this.options.identity,
      handshakeTimeoutMs: this.options.handshakeTimeoutMs,
      onControlBytes: this.options.onControlBytes,
      onSentBytes: this.options.onSentBytes,
      listener: {
        onReady: (ready) => {
          if (side === HandshakeSide.Listener) this.incoming.set(ready.host, ready);
          onSettled(ok(ready));
        },
        onFrame: (from, frame) => {
          for (const handler of this.handlers) handler.onFrame(from, frame);
        },
        onClose: (closed, error) => {
          this.forget(closed, error);
          onSettled(err(error));
        },
      },
    });
    this.links.add(link);
    return link;
  }

  private forget(link: PeerLink, error: GladespoolError): void {
    this.links.delete(link);
    for (const [key, held] of this.outgoing) if (held === link) this.outgoing.delete(key);
    if (this.incoming.get(link.host) === link) this.incoming.delete(link.host);
    const { step, peer } = error;
    this.options.log.trace('link-closed', { step, peer, error: error.message });
    for (const handler of this.handlers) handler.onLost(link);
  }
}

function keyOf(peer: PeerAddress): string {
  return `${peer.host}@${peer.address}:${peer.port}`;
}
