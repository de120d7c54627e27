/**
 * Branded identifiers, so that a host name is never passed where a group name is meant.
 */
declare const brand: unique symbol;

/** A string that belongs to one kind of identifier. */
type Branded<Name extends string> = string & { readonly [brand]: Name };

/** Name of an entry host, unique in the deployment. */
export type HostId = Branded<'HostId'>;
/** Name of an availability zone. */
export type AzId = Branded<'AzId'>;
/** Name of a region: availability zones that are near one another. */
export type RegionId = Branded<'RegionId'>;
/** Name of a database group; callers give it as the database name. */
export type GroupId = Branded<'GroupId'>;
/** Name of an upstream, unique in its group. */
export type UpstreamId = Branded<'UpstreamId'>;
/** Name of a workspace; callers belong to one by their key. */
export type WorkspaceId = Branded<'WorkspaceId'>;
/** Caller-chosen id of a request that must run at most once. */
export type RequestId = Branded<'RequestId'>;

/** Marks a checked string as a host name. */
export function hostId(text: string): HostId {
  return text as HostId;
}

/** Marks a checked string as an availability zone name. */
export function azId(text: string): AzId {
  return text as AzId;
}

/** Marks a checked string as a region name. */
export function regionId(text: string): RegionId {
  return text as RegionId;
}

/** Marks a checked string as a group name. */
export function groupId(text: string): GroupId {
  return text as GroupId;
}

/** Marks a checked string as an upstream name. */
export function upstreamId(text: string): UpstreamId {
  return text as UpstreamId;
}

/** Marks a checked string as a workspace name. */
export function workspaceId(text: string): WorkspaceId {
  return text as WorkspaceId;
}

/** Marks a checked string as a request id. */
export function requestId(text: string): RequestId {
  return text as RequestId;
}
