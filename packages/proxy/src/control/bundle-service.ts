/**
 * Installs configuration bundles: verifies version and signatures, fetches missing parts, and never
 * installs an older version than the current one. Relays receive bundle heads from the store, all
 * hosts receive them from relays.
 */
import type { Blackboard, GroupSpec } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { Bundle, BundleHead, Frame, Manifest, TrustRoot } from '@gladespool/protocol';
import {
  isNeededInZone,
  decodeHead,
  FrameKind,
  hashPart,
  isAuthorized,
  readBundleCore,
  readBundleGroups,
  readManifest,
  signaturesOf,
} from '@gladespool/protocol';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import { trustAfterChain } from './trust-chain.js';

/** Fetches the texts of parts by hash; parts that are not found are omitted. */
export type PartFetch = (hashes: readonly string[]) => Promise<readonly string[]>;

/** Options of the service. */
export interface BundleServiceOptions {
  readonly board: Blackboard;
  /** Operators that are trusted until the first bundle is installed. */
  readonly root: TrustRoot;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  /** Called with the head and version of a bundle after it has been installed. */
  readonly onInForce: (head: string, version: number) => void;
}

interface Candidate {
  readonly head: string;
  readonly manifest: Manifest;
  readonly fetch: PartFetch;
  /** Texts of the parts that were sent together with the head. */
  readonly fresh: readonly string[];
}

const PART_REQUEST_TIMEOUT_MS = 5000;

/** Holds the installed bundle of one host and installs newer ones. */
export class BundleService implements PeerHandler {
  private readonly parts = new Map<string, string>();
  private readonly groups = new Map<string, readonly GroupSpec[]>();
  private trust: TrustRoot;
  private trustedVersion = 0;
  private version = 0;
  private headInForce: string | undefined;
  private installing: Candidate | undefined;
  private next: Candidate | undefined;
  private pendingRequests: { readonly link: PeerLink; readonly done: (texts: string[]) => void }[] =
    [];

  constructor(private readonly options: BundleServiceOptions) {
    this.trust = options.root;
  }

  /** Version of the installed bundle; 0 if there is none. */
  get inForce(): number {
    return this.version;
  }

  /** Head of the installed bundle. */
  get head(): string | undefined {
    return this.headInForce;
  }

  /** Returns the text of a part that this host holds. */
  part(hash: string): string | undefined {
    return this.parts.get(hash);
  }

  /** Offers a head that was received on a link; missing parts are requested on the same link. */
  offerFromLink(head: string, link: PeerLink): void {
    this.offer(head, (hashes) => this.requestParts(link, hashes));
  }

  /** Installs the bundle of a head, unless its version is not newer or its signatures are not valid. */
  offer(text: string, fetch: PartFetch): void {
    const head = decodeHead(text);
    const manifest = head && readManifest(head.manifest);
    if (head === undefined || manifest === undefined) {
      this.options.log.warn('bundle-refused', { reason: 'malformed' });
      return;
    }
    if (manifest.version <= Math.max(this.version, this.installing?.manifest.version ?? 0)) return;
    if (!this.authorize(head, manifest)) return;
    this.next = { head: text, manifest, fetch, fresh: head.fresh };
    if (this.installing === undefined) void this.install();
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.PartReply) return;
    const index = this.pendingRequests.findIndex((entry) => entry.link === link);
    const [entry] = index < 0 ? [] : this.pendingRequests.splice(index, 1);
    entry?.done(frame.parts.map((part) => part.text));
  }

  onLost(link: PeerLink): void {
    const lost = this.pendingRequests.filter((entry) => entry.link === link);
    this.pendingRequests = this.pendingRequests.filter((entry) => entry.link !== link);
    for (const entry of lost) entry.done([]);
  }

  private authorize(head: BundleHead, manifest: Manifest): boolean {
    const trust = trustAfterChain(this.trust, this.trustedVersion, head.chain, manifest.version);
    const authorized = isAuthorized(head.manifest, signaturesOf(head), trust);
    if (!authorized) {
      const { version } = manifest;
      this.options.log.warn('bundle-refused', { reason: 'signatures', version });
    }
    return authorized;
  }

  private async install(): Promise<void> {
    for (;;) {
      const candidate = this.next;
      this.next = undefined;
      if (candidate === undefined) return;
      this.installing = candidate;
      await this.installOne(candidate);
      this.installing = undefined;
    }
  }

  private async installOne(candidate: Candidate): Promise<void> {
    const { board, log } = this.options;
    for (const text of candidate.fresh) this.parts.set(hashPart(text), text);
    const wanted = candidate.manifest.parts.filter((part) => isNeededInZone(part, board.az));
    const hashes = wanted.map((part) => part.hash);
    const missing = hashes.filter((hash) => !this.parts.has(hash));
    if (missing.length > 0) await this.fetchParts(candidate, missing);
    const { version } = candidate.manifest;
    const missingCount = hashes.filter((hash) => !this.parts.has(hash)).length;
    if (missingCount > 0) {
      log.warn('bundle-incomplete', { version, missing: missingCount });
      return;
    }
    const bundle = this.parseBundle(version, hashes);
    if (bundle === undefined) {
      log.warn('bundle-refused', { reason: 'content', version });
      return;
    }
    const { operators, threshold, groups } = bundle;
    this.trust = { operators, threshold };
    this.trustedVersion = version;
    this.version = version;
    this.headInForce = candidate.head;
    this.removeOtherParts(new Set(hashes));
    board.putBundle(version, groups, performance.now());
    this.options.metrics.bundleVersion.set(version);
    log.info('bundle-in-force', { version, groups: groups.length, fetched: missing.length });
    this.options.onInForce(candidate.head, version);
  }

  /** Parses the parts; parts that are unchanged since the last bundle are not parsed again. */
  private parseBundle(version: number, hashes: readonly string[]): Bundle | undefined {
    const [first = '', ...others] = hashes;
    const core = readBundleCore(`bundle ${version}`, this.parts.get(first) ?? '');
    if (core.isErr() || core.value.version !== version) return undefined;
    const groups: GroupSpec[] = [];
    for (const hash of others) {
      const read = this.groupsOf(hash);
      if (read === undefined) return undefined;
      groups.push(...read);
    }
    return { ...core.value, groups };
  }

  private groupsOf(hash: string): readonly GroupSpec[] | undefined {
    const held = this.groups.get(hash);
    if (held !== undefined) return held;
    const read = readBundleGroups(`part ${hash}`, this.parts.get(hash) ?? '');
    if (read.isErr()) return undefined;
    this.groups.set(hash, read.value);
    return read.value;
  }

  private async fetchParts(candidate: Candidate, hashes: readonly string[]): Promise<void> {
    for (const text of await candidate.fetch(hashes)) this.parts.set(hashPart(text), text);
  }

  private removeOtherParts(hashes: ReadonlySet<string>): void {
    for (const hash of this.parts.keys()) {
      if (hashes.has(hash)) continue;
      this.parts.delete(hash);
      this.groups.delete(hash);
    }
  }

  private requestParts(link: PeerLink, hashes: readonly string[]): Promise<readonly string[]> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.pendingRequests = this.pendingRequests.filter((entry) => entry.done !== done);
        resolve([]);
      }, PART_REQUEST_TIMEOUT_MS);
      const done = (texts: string[]): void => {
        clearTimeout(timer);
        resolve(texts);
      };
      this.pendingRequests.push({ link, done });
      if (!link.send({ kind: FrameKind.PartRequest, hashes: [...hashes] })) this.onLost(link);
    });
  }
}
