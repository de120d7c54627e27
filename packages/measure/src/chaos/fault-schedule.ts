/**
 * A seeded random schedule of the faults that the system must tolerate, one or two at a time and repeatedly.
 */
import type { RandomSource } from '@gladespool/coordination';
import { createLogger } from '@gladespool/observability';
import { StoreFault } from '@gladespool/standins';
import type { Deployment } from '../embedded/deployment.js';

/** Kinds of injected faults. */
export enum FaultKind {
  StopPrimary = 'stop-primary',
  PausePrimary = 'pause-primary',
  StopReplica = 'stop-replica',
  CutZone = 'cut-zone',
  CutPrimaryFromReplicas = 'cut-primary-from-replicas',
  LagReplica = 'lag-replica',
  KillHost = 'kill-host',
  StoreDown = 'store-down',
  StoreSlow = 'store-slow',
  StoreReplyLost = 'store-reply-lost',
}

/** An injected fault and the function that undoes it. */
interface ActiveFault {
  readonly kind: FaultKind;
  readonly undo: () => Promise<void>;
}

const ALL_KINDS: readonly FaultKind[] = Object.values(FaultKind);
const MAX_ACTIVE = 2;
const SLOW_MS = 300;
const LAG_MS = 2000;

/** Injects faults into a deployment, at most two at once. */
export class FaultSchedule {
  private readonly active: ActiveFault[] = [];
  /** Number of faults injected so far, by kind. */
  readonly counts = new Map<FaultKind, number>();
  private replaced = 0;
  private readonly log = createLogger('chaos');

  constructor(
    private readonly deployment: Deployment,
    private readonly random: RandomSource,
    private readonly kinds: readonly FaultKind[] = ALL_KINDS,
  ) {}

  /**
   * Injects another fault, or undoes the oldest one: always if two are active, with a probability of one half if one
   * is. Returns the kind of the injected fault, if any.
   */
  async step(): Promise<FaultKind | undefined> {
    const enough = this.active.length >= MAX_ACTIVE;
    if (enough || (this.active.length > 0 && this.random.unit() < 0.5)) {
      const fault = this.active.shift();
      this.log.info('fault-ends', { kind: fault?.kind });
      await fault?.undo();
      return undefined;
    }
    const kind = this.kinds[this.random.integer(0, this.kinds.length - 1)];
    if (kind === undefined) return undefined;
    this.log.info('fault-begins', { kind });
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this.active.push({ kind, undo: await this.start(kind) });
    return kind;
  }

  /** Undoes all active faults and heals the network. */
  async healAll(): Promise<void> {
    for (const fault of this.active.splice(0)) await fault.undo();
    this.deployment.network.heal();
  }

  private start(kind: FaultKind): Promise<() => Promise<void>> {
    switch (kind) {
      case FaultKind.StopPrimary:
        return this.stopUpstream(true);
      case FaultKind.StopReplica:
        return this.stopUpstream(false);
      case FaultKind.PausePrimary:
        return this.pausePrimary();
      case FaultKind.CutZone:
        return this.cutZone();
      case FaultKind.CutPrimaryFromReplicas:
        return this.cutPrimary();
      case FaultKind.LagReplica:
        return this.lagReplica();
      case FaultKind.KillHost:
        return this.killHost();
      case FaultKind.StoreDown:
        return this.storeFault(StoreFault.Down);
      case FaultKind.StoreSlow:
        return this.storeFault(StoreFault.Slow);
      case FaultKind.StoreReplyLost:
        return this.storeFault(StoreFault.ReplyLost);
    }
  }

  private pick<Item>(items: readonly Item[]): Item {
    const item = items[this.random.integer(0, items.length - 1)];
    if (item === undefined) throw new Error('cannot pick an item from an empty list');
    return item;
  }

  private group(): string {
    return this.pick(this.deployment.options.shape.groups);
  }

  private async stopUpstream(primary: boolean): Promise<() => Promise<void>> {
    const group = this.group();
    const first = this.deployment.primaryOf(group);
    const others = this.deployment.upstreamsOf(group).filter((server) => server !== first);
    const server = primary ? first : this.pick(others);
    await server.stop();
    return () => server.listen();
  }

  private pausePrimary(): Promise<() => Promise<void>> {
    const server = this.deployment.primaryOf(this.group());
    server.setPaused(true);
    return Promise.resolve(() => {
      server.setPaused(false);
      return Promise.resolve();
    });
  }

  private cutZone(): Promise<() => Promise<void>> {
    const { network, options } = this.deployment;
    const az = this.pick(options.shape.zones);
    const others = [...options.shape.zones.filter((zone) => zone !== az), 'platform'];
    const cuts = others.flatMap((other) => [
      { from: az, to: other },
      { from: other, to: az },
    ]);
    for (const cut of cuts) network.cut(cut);
    return Promise.resolve(() => {
      for (const cut of cuts) network.heal(cut);
      return Promise.resolve();
    });
  }

  private cutPrimary(): Promise<() => Promise<void>> {
    const { network } = this.deployment;
    const group = this.group();
    const primary = this.deployment.primaryOf(group).node.id;
    const cuts = this.deployment
      .upstreamsOf(group)
      .filter((server) => server.node.id !== primary)
      .map((server) => ({ from: primary, to: server.node.id }));
    for (const cut of cuts) network.cut(cut);
    return Promise.resolve(() => {
      for (const cut of cuts) network.heal(cut);
      return Promise.resolve();
    });
  }

  private lagReplica(): Promise<() => Promise<void>> {
    const group = this.group();
    const first = this.deployment.primaryOf(group);
    const server = this.pick(
      this.deployment.upstreamsOf(group).filter((candidate) => candidate !== first),
    );
    server.node.applyLagMs = LAG_MS;
    return Promise.resolve(() => {
      server.node.applyLagMs = 0;
      return Promise.resolve();
    });
  }

  private async killHost(): Promise<() => Promise<void>> {
    const host = this.pick(this.deployment.hosts);
    const { az } = host.board;
    await this.deployment.killHost(host);
    return async () => {
      this.replaced += 1;
      await this.deployment.startHost(`${az}-r${this.replaced}`, az);
      this.deployment.refreshHostList();
    };
  }

  private storeFault(fault: StoreFault): Promise<() => Promise<void>> {
    const { store } = this.deployment;
    store.slowMs = SLOW_MS;
    store.setFault(fault);
    return Promise.resolve(() => {
      store.setFault(StoreFault.None);
      return Promise.resolve();
    });
  }
}
