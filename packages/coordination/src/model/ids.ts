/**
 * Branded identifiers, so that a host name can't be passed where a group name is expected.
 */
declare const brand: unique symbol;

/** A string that is one kind of identifier. */
type Branded<Name extends string> = string & { readonly [brand]: Name };

/** Name of a host, unique in the deployment. */
export type HostId = Branded<'HostId'>;
/** Name of an availability zone. */
export type AzId = Branded<'AzId'>;
/** Name of a region, a set of nearby availability zones. */
export type RegionId = Branded<'RegionId'>;
/** Name of a database group; callers give it as the database name. */
export type GroupId = Branded<'GroupId'>;
/** Name of an upstream, unique in its group. */
export type UpstreamId = Branded<'UpstreamId'>;
/** Name of a workspace; a caller's key determines its workspace. */
export type WorkspaceId = Branded<'WorkspaceId'>;
/** Id chosen by the caller for a request that must run at most once. */
export type RequestId = Branded<'RequestId'>;

/** Brands a checked string as a host name. */
export function hostId(text: string): HostId {
  return text as HostId;
}

/** Brands a checked string as an availability zone name. */
export function azId(text: string): AzId {
  return text as AzId;
}

/** Brands a checked string as a region name. */
export function regionId(text: string): RegionId {
  return text as RegionId;
}

/** Brands a checked string as a group name. */
export function groupId(text: string): GroupId {
  return text as GroupId;
}

/** Brands a checked string as an upstream name. */
export function upstreamId(text: string): UpstreamId {
  return text as UpstreamId;
}

/** Brands a checked string as a workspace name. */
export function workspaceId(text: string): WorkspaceId {
  return text as WorkspaceId;
}

/** Brands a checked string as a request id. */
export function requestId(text: string): RequestId {
  return text as RequestId;
}
