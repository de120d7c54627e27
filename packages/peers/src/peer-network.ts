/**
 * Links of one host: one shared link to each peer, opened on demand. A link opened by the peer is used as well, so that
 * a host that receives requests from many peers does not open as many links in return.
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

/** Address at which a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
}

/** Handles frames from, and the loss of, any link. */
export interface PeerHandler {
  onFrame(link: PeerLink, frame: Frame): void;
  onLost(link: PeerLink): void;
}

/** Options of a network. */
export interface PeerNetworkOptions {
  readonly identity: LinkIdentity;
  /** Opens a connection to another host. */
  readonly dial: (port: number, address: string) => Socket;
  readonly handshakeTimeoutMs: number;
  /** Counts sent bytes that do not belong to caller requests. */
  readonly onControlBytes: (bytes: number) => void;
  /** Counts all bytes sent, by zone of the other host; unset if they are not counted. */
  readonly onSentBytes?: SentBytesCounter;
  readonly log: Logger;
}

type PendingLink = Promise<Result<PeerLink, GladespoolError>>;

/** All links of one host. */
export class PeerNetwork {
  private readonly outgoing = new Map<string, PeerLink>();
  /** The latest link opened by each peer, by host name. */
  private readonly incoming = new Map<string, PeerLink>();
  private readonly opening = new Map<string, PendingLink>();
  private readonly links = new Set<PeerLink>();
  private readonly handlers: PeerHandler[] = [];
  private server: Server | undefined;
  private stopped = false;

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Port at which this host listens; 0 while it does not. */
  get port(): number {
    return (this.server?.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Adds a handler. Every handler receives all frames and ignores the kinds it does not handle. */
  addHandler(handler: PeerHandler): void {
    this.handlers.push(handler);
  }

  /** Starts accepting links. */
  async listen(address: string, port: number): Promise<void> {
    const server = createServer((socket) => {
      this.createLink(socket, HandshakeSide.Listener, () => undefined);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, address, resolve);
    });
    this.server = server;
  }

  /** Returns the link to a peer; opens one if there is none. */
  linkTo(peer: PeerAddress): PendingLink {
    const key = keyOf(peer);
    const existing = this.outgoing.get(key);
    if (existing?.ready === true) return Promise.resolve(ok(existing));
    const accepted = this.incoming.get(peer.host);
    if (accepted?.ready === true) return Promise.resolve(ok(accepted));
    const opening = this.opening.get(key);
    if (opening !== undefined) return opening;
    const started = this.open(peer, key);
    this.opening.set(key, started);
    void started.finally(() => this.opening.delete(key));
    return started;
  }

  /** Sends a frame to a peer, opening a link if needed; false if it could not be sent. */
  async sendTo(peer: PeerAddress, frame: Frame): Promise<boolean> {
    const link = await this.linkTo(peer);
    return link.isOk() && link.value.send(frame);
  }

  /** Closes all links and stops accepting new ones. */
  async stop(): Promise<void> {
    this.stopped = true;
    for (const link of [...this.links]) link.close('host is stopping');
    const server = this.server;
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  private open(peer: PeerAddress, key: string): PendingLink {
    const place = { step: Step.PeerConnect, peer: `${peer.address}:${peer.port}` };
    if (this.stopped) return Promise.resolve(err(gladespoolError(place, 'host is stopping')));
    const socket = this.dial(peer);
    if (socket.isErr()) return Promise.resolve(err(gladespoolError(place, socket.error)));
    return new Promise((resolve) => {
      const link = this.createLink(socket.value, HandshakeSide.Dialer, (result) => {
        if (result.isOk()) this.outgoing.set(key, link);
        resolve(result);
      });
    });
  }

  /** An address that is none may be refused by an exception; hosts list themselves, so any may occur. */
  private dial({ port, address }: PeerAddress): Result<Socket, string> {
    try {
      return ok(this.options.dial(port, address));
    } catch (cause) {
      return err(cause instanceof Error ? cause.message : String(cause));
    }
  }

  private createLink(
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
          this.removeLink(closed, error);
          onSettled(err(error));
        },
      },
    });
    this.links.add(link);
    return link;
  }

  private removeLink(link: PeerLink, error: GladespoolError): void {
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
