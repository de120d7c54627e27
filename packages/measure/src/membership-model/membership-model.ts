/**
 * Steps of the membership model, which call the library's own decision functions. Host 0 and the hosts that join are
 * on one side of the partition and reach the store; the last of the first hosts are on the other side.
 */
import type { ClaimAcknowledgements } from '@gladespool/coordination';
import {
  isClaimQuorum,
  isEstablished,
  isIsolated,
  isMajority,
  isRenewalValid,
  proofsExpiredAt,
  retiredProofMs,
} from '@gladespool/coordination';
import type { Model, ModelStep } from '../model/breadth-first.js';
import type { MemberClaim, MemberHost, MembershipState } from './membership-state.js';
import { initialMembership, MEMBERSHIP_RULES, positionOf } from './membership-state.js';

/** The rules as designed, or with one of them broken deliberately. */
export enum MembershipVariant {
  Designed = 'designed',
  /** A claim needs more than half of the newest list only. */
  MajorityOfNewestList = 'majority of the newest list',
  /** Retired hosts are taken to hold no proof. */
  RetiredIgnored = 'retired hosts ignored',
  /** The settled position advances although retired hosts may hold older lists. */
  SettledWithoutRetired = 'list settled without retired hosts',
  /** A list counts as settled once the reachable hosts hold it. */
  SettledWithoutSilent = 'list settled without silent hosts',
}

/** Bounds of one exploration. */
export interface MembershipBounds {
  /** Hosts that are listed at first. */
  readonly first: number;
  /** The last ones of those, which are partitioned. */
  readonly partitioned: number;
  readonly joining: number;
  /** Partitioned hosts that are retired at most. */
  readonly retiring: number;
}

type Step = ModelStep<MembershipState>;

/** Creates the model of one variant. */
export function membershipModel(
  variant: MembershipVariant,
  bounds: MembershipBounds,
): Model<MembershipState> {
  const steps = new MembershipSteps(variant, bounds);
  return {
    initial: initialMembership(bounds.first, bounds.first + bounds.joining),
    stepsFrom: (state) => steps.from(state),
    faultOf,
    keyOf,
  };
}

function faultOf({ claim, hosts, now }: MembershipState): string | undefined {
  if (claim?.called !== true) return undefined;
  const usesFormer = hosts.some(
    ({ running, knowsClaim, provedAt }) =>
      running && !knowsClaim && provedAt >= 0 && !isIsolated(provedAt, now, MEMBERSHIP_RULES),
  );
  return usesFormer ? 'the former primary is used after the call' : undefined;
}

class MembershipSteps {
  constructor(
    private readonly variant: MembershipVariant,
    private readonly bounds: MembershipBounds,
  ) {}

  from(state: MembershipState): readonly Step[] {
    // After the call, proofs that are renewed matter; with time they only expire.
    if (state.claim?.called === true) return this.proofSteps(state);
    const steps = [
      ...this.timeSteps(state),
      ...this.listSteps(state),
      ...this.proofSteps(state),
      ...this.claimSteps(state),
    ];
    return steps.map(({ name, next }) => ({ name, next: this.withQuorum(next) }));
  }

  private isPartitioned(host: number): boolean {
    const { first, partitioned } = this.bounds;
    return host >= first - partitioned && host < first;
  }

  private reachesStore(state: MembershipState, host: number): boolean {
    return !state.isCut || !this.isPartitioned(host);
  }

  /** Begins the partition, or lets time pass in it; before, hosts differ in the lists that they hold only. */
  private timeSteps(state: MembershipState): readonly Step[] {
    if (!state.isCut) return [{ name: 'partition', next: { ...state, isCut: true } }];
    return [{ name: 'tick', next: { ...state, now: state.now + 1 } }];
  }

  /** Lets a host join, retires one that is partitioned, or advances the settled position. */
  private listSteps(state: MembershipState): readonly Step[] {
    const steps = [...this.joinSteps(state), ...this.retireSteps(state)];
    const settled = this.settledVersion(state);
    if (settled > state.settled) {
      steps.push({ name: `version ${settled} is settled`, next: { ...state, settled } });
    }
    return steps;
  }

  private joinSteps(state: MembershipState): readonly Step[] {
    const { now, versions, hosts, listings } = state;
    const joining = hosts.findIndex(({ running }, host) => host >= this.bounds.first && !running);
    if (joining < 0) return [];
    const listing = { since: positionOf(versions.length), knownSince: now };
    const next = {
      ...state,
      versions: [...versions, [...newestList(state), joining]],
      listings: { ...listings, [joining]: listing },
    };
    return [{ name: `${joining} joins`, next: withHost(next, joining, { running: true }) }];
  }

  private retireSteps(state: MembershipState): readonly Step[] {
    const { now, versions, listings, retirements } = state;
    if (retirements.length >= this.bounds.retiring) return [];
    const list = newestList(state);
    const silent = list.filter((host) => !this.reachesStore(state, host));
    return silent.map((host) => {
      const remaining = Object.entries(listings).filter(([name]) => Number(name) !== host);
      const next = {
        ...state,
        versions: [...versions, list.filter((each) => each !== host)],
        listings: Object.fromEntries(remaining),
        retirements: [...retirements, { host, knownSince: now }],
      };
      return { name: `${host} is retired`, next };
    });
  }

  /** Latest version that all listed hosts have reported; reachable hosts hold the newest one. */
  private settledVersion(state: MembershipState): number {
    const ignoresRetired = this.variant === MembershipVariant.SettledWithoutRetired;
    if (!ignoresRetired && this.retired(state).length > 0) return state.settled;
    const ignoresSilent = this.variant === MembershipVariant.SettledWithoutSilent;
    const counted = newestList(state).filter(
      (host) => !ignoresSilent || this.reachesStore(state, host),
    );
    const held = counted.map((host) =>
      this.isPartitioned(host) ? hostAt(state, host).version : state.versions.length - 1,
    );
    return Math.min(...held);
  }

  /** A partitioned host reads the store before the partition, or renews its proof with those that it reaches. */
  private proofSteps(state: MembershipState): readonly Step[] {
    const partitioned = [...state.hosts.keys()].filter((host) => this.isPartitioned(host));
    return partitioned.flatMap((host) => [
      ...(state.isCut ? [] : [this.read(state, host)]),
      ...this.renewals(state, host),
    ]);
  }

  private read(state: MembershipState, host: number): Step {
    const { now, versions, claim } = state;
    const read = {
      version: versions.length - 1,
      listReadAt: now,
      provedAt: now,
      knowsClaim: claim !== undefined,
    };
    return { name: `${host} reads the store`, next: withHost(state, host, read) };
  }

  private renewals(state: MembershipState, host: number): readonly Step[] {
    const { now } = state;
    const own = hostAt(state, host);
    const list = listAt(state, own.version);
    const answering = list.filter(
      (other) =>
        other === host ||
        (this.reaches(state, host, other) &&
          listAt(state, this.versionOf(state, other)).includes(host)),
    );
    const renewal = { listed: list.length, answered: answering.length, listReadAt: own.listReadAt };
    if (!isRenewalValid(renewal, now, MEMBERSHIP_RULES)) return [];
    const knowsClaim = answering.some((other) => hostAt(state, other).knowsClaim);
    const renewed = { provedAt: now, knowsClaim: own.knowsClaim || knowsClaim };
    return [{ name: `${host} renews its proof`, next: withHost(state, host, renewed) }];
  }

  private reaches(state: MembershipState, a: number, b: number): boolean {
    return !state.isCut || this.isPartitioned(a) === this.isPartitioned(b);
  }

  private versionOf(state: MembershipState, host: number): number {
    return this.isPartitioned(host) ? hostAt(state, host).version : state.versions.length - 1;
  }

  /** Claims the record, has a host acknowledge it, or calls for the promotion of another upstream. */
  private claimSteps(state: MembershipState): readonly Step[] {
    const { claim } = state;
    if (claim === undefined) {
      const claimed: MemberClaim = { acknowledged: [0], quorumAt: undefined, called: false };
      const next = withHost({ ...state, claim: claimed }, 0, { knowsClaim: true });
      return [{ name: 'claim', next: this.withAware(next) }];
    }
    if (claim.called) return [];
    const asked = newestList(state).filter(
      (host) => !claim.acknowledged.includes(host) && this.reaches(state, 0, host),
    );
    const steps = asked.map((host) => {
      const acknowledged = [...claim.acknowledged, host].sort();
      const next = withHost({ ...state, claim: { ...claim, acknowledged } }, host, {
        knowsClaim: true,
      });
      return { name: `${host} acknowledges`, next };
    });
    if (this.mayCall(state, claim))
      steps.push({ name: 'call', next: { ...state, claim: { ...claim, called: true } } });
    return steps;
  }

  /** A host that joins later reads the claim before it holds a proof. */
  private withAware(state: MembershipState): MembershipState {
    const hosts = state.hosts.map((host) => (host.running ? host : { ...host, knowsClaim: true }));
    return { ...state, hosts };
  }

  private mayCall(state: MembershipState, claim: MemberClaim): boolean {
    const silent = newestList(state).filter((host) => !claim.acknowledged.includes(host));
    if (silent.length === 0 && this.retired(state).length === 0) return true;
    if (claim.quorumAt === undefined) return false;
    return state.now >= proofsExpiredAt(claim.quorumAt, MEMBERSHIP_RULES);
  }

  private withQuorum(state: MembershipState): MembershipState {
    const { claim, now } = state;
    if (claim === undefined || claim.quorumAt !== undefined) return state;
    if (!this.isQuorum(this.count(state, claim))) return state;
    return { ...state, claim: { ...claim, quorumAt: now } };
  }

  private isQuorum(acks: ClaimAcknowledgements): boolean {
    if (this.variant !== MembershipVariant.MajorityOfNewestList) return isClaimQuorum(acks);
    return isMajority(acks.acknowledged, acks.listed);
  }

  private count(state: MembershipState, claim: MemberClaim): ClaimAcknowledgements {
    const list = newestList(state);
    const answered = list.filter((host) => claim.acknowledged.includes(host));
    const settled = positionOf(state.settled);
    const established = answered.filter((host) => {
      const listing = state.listings[host];
      return listing && isEstablished(listing, settled, state.now, MEMBERSHIP_RULES);
    });
    return {
      listed: list.length,
      acknowledged: answered.length,
      established: established.length,
      retired: this.retired(state).length,
    };
  }

  private retired({ retirements, now }: MembershipState): readonly number[] {
    if (this.variant === MembershipVariant.RetiredIgnored) return [];
    return retirements
      .filter(({ knownSince }) => now - knownSince <= retiredProofMs(MEMBERSHIP_RULES))
      .map(({ host }) => host);
  }
}

/** A key without absolute times: ages that no decision distinguishes any more are equal. */
function keyOf(state: MembershipState): string {
  const { now, versions, isCut, settled, claim } = state;
  const ageOf = (at: number): number => Math.min(now - at, retiredProofMs(MEMBERSHIP_RULES) + 1);
  const hosts = state.hosts.map(({ running, version, listReadAt, provedAt, knowsClaim }) => [
    ...[Number(running), version, Number(knowsClaim)],
    ...[ageOf(listReadAt), provedAt < 0 ? -1 : ageOf(provedAt)],
  ]);
  const listings = Object.entries(state.listings).map(([host, { since, knownSince }]) => [
    ...[host, since.revision, ageOf(knownSince)],
  ]);
  const retirements = state.retirements.map(({ host, knownSince }) => [host, ageOf(knownSince)]);
  const claimed = claim && [
    claim.acknowledged,
    claim.quorumAt === undefined ? -1 : ageOf(claim.quorumAt),
    claim.called,
  ];
  return JSON.stringify([versions, isCut, settled, hosts, listings, retirements, claimed]);
}

function newestList({ versions }: MembershipState): readonly number[] {
  return versions[versions.length - 1] ?? [];
}

function listAt({ versions }: MembershipState, version: number): readonly number[] {
  return versions[version] ?? [];
}

function hostAt({ hosts }: MembershipState, index: number): MemberHost {
  const host = hosts[index];
  if (host === undefined) throw new RangeError(`unknown host ${index}`);
  return host;
}

function withHost(
  state: MembershipState,
  index: number,
  change: Partial<MemberHost>,
): MembershipState {
  const hosts = state.hosts.map((host, at) => (at === index ? { ...host, ...change } : host));
  return { ...state, hosts };
}
