/**
 * Messages between hosts: CBOR with a 32-bit length prefix, validated on arrival.
 */
import {
  Access,
  Consistency,
  GroupPhase,
  MemberState,
  Priority,
  RefusalReason,
  UpstreamFault,
} from '@gladespool/coordination';
import * as z from 'zod';
import { portSchema } from '../port.js';
import { TransactionStatus } from '../pg/message-type.js';
import { removedKeySchema, storeItemSchema, storePositionSchema } from './store-documents.js';

/** Version of this protocol; the handshake refuses links between different versions. */
export const PEER_PROTOCOL_VERSION = 4;

/** Kinds of frames. */
export enum FrameKind {
  Hello = 'hello',
  Challenge = 'challenge',
  Proof = 'proof',
  Ready = 'ready',
  Run = 'run',
  Answer = 'answer',
  Cancel = 'cancel',
  Abandon = 'abandon',
  Heartbeat = 'heartbeat',
  Updates = 'news',
  PartRequest = 'part-ask',
  PartReply = 'part-reply',
  SuspicionRequest = 'suspicion-ask',
  SuspicionReply = 'suspicion-reply',
  RecordUpdate = 'record-news',
  SyncRequest = 'sync-ask',
  SyncReply = 'sync-reply',
  DocumentsRequest = 'documents-ask',
  DocumentsReply = 'documents-reply',
  StoreUpdate = 'store-news',
  RoundRequest = 'round-ask',
  RoundReplies = 'round-answers',
  RevokeRequest = 'revoke-ask',
  RevokeReply = 'revoke-reply',
  HoldRequest = 'hold-ask',
  HoldReply = 'hold-reply',
  ReachabilityRequest = 'reach-ask',
  ReachabilityReply = 'reach-reply',
  PingRequest = 'ping-ask',
  PingReply = 'ping-reply',
  IndirectPingRequest = 'missed-ask',
  IndirectPingReply = 'missed-reply',
  RenewRequest = 'renew-ask',
  RenewReply = 'renew-reply',
  AllowanceRequest = 'allowance-ask',
  AllowanceReply = 'allowance-reply',
  WatermarkRequest = 'mark-ask',
  WatermarkReply = 'mark-reply',
  ForwardRequest = 'forward-ask',
  ForwardReply = 'forward-reply',
  ForwardRollback = 'forward-rollback',
}

/** Operation that a host forwards to another host with better connections for it. */
export enum ForwardOperation {
  /** A statement outside a transaction. */
  Run = 'run',
  Begin = 'begin',
  /** A statement within a transaction. */
  Step = 'step',
  Commit = 'commit',
}

/** Kind of a request, as classified by the host that received it from the caller. */
export enum RunIntent {
  Read = 'read',
  Write = 'write',
  Begin = 'begin',
  BeginReadOnly = 'begin-read-only',
  /** Continues an open transaction. */
  Continue = 'continue',
  /** Ends an open transaction. */
  End = 'end',
}

const count = z.int().nonnegative();

/** Changes of the gateway's own documents since the requested position; all of these documents are small. */
const ownChangesSchema = z.object({
  /** Store position up to which the receiver is complete after applying these changes. */
  position: storePositionSchema,
  items: z.array(storeItemSchema),
  removed: z.array(removedKeySchema),
});

/** A proof that one host forwards to another. */
const forwardedProofSchema = z.object({
  /** Age when the request arrived, milliseconds; negative if the proof is more recent. */
  ageMs: z.number(),
  /** Store position up to which the receiver must have the gateway's own documents. */
  position: storePositionSchema,
  /** Whether the proof comes from a store response; otherwise from replies of a majority of hosts. */
  isFromStore: z.boolean(),
});

/** Store position up to which all hosts of a zone that were listed there have the host list. */
const zoneListSchema = z.object({ az: z.string(), position: storePositionSchema }).readonly();

const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array, 'bytes');
const positionSchema = z.object({ term: count, offset: count }).readonly();

const marksSchema = z
  .object({
    requestId: z.string().optional(),
    repeatable: z.boolean(),
    maxAgeMs: count.optional(),
    priority: z.enum(Priority).optional(),
  })
  .readonly();

/** A group's record in frames. */
export const recordSchema = z
  .object({
    group: z.string(),
    term: count,
    phase: z.enum(GroupPhase),
    primary: z.string(),
    lineage: z.array(z.object({ term: count, start: count }).readonly()).readonly(),
    attempt: z.string(),
    promoter: z.string(),
  })
  .readonly();

/** A member of the deployment in frames. */
export const memberSchema = z
  .object({
    host: z.string(),
    az: z.string(),
    address: z.string(),
    port: portSchema,
    /** Start time of the process, so that a restart has a higher incarnation. */
    incarnation: count,
    state: z.enum(MemberState),
  })
  .readonly();

const sessionPositionSchema = z.object({ epoch: count, position: positionSchema }).readonly();

/** Route of the statement's database, as known to the forwarding host. */
const forwardRouteSchema = z
  .object({
    database: z.string(),
    group: z.string(),
    consistency: z.enum(Consistency),
    maxStalenessMs: z.number(),
    timeoutMs: z.number(),
    targetLatencyMs: z.number(),
    priority: z.number(),
    isPublic: z.boolean(),
  })
  .readonly();

/** A statement text forwarded unchanged, or a prepared statement with its arguments. */
const forwardWorkSchema = z
  .object({
    access: z.enum(Access),
    text: z.string().optional(),
    shape: z.string().optional(),
    args: z.string().optional(),
  })
  .readonly();

const forwardOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('completed'),
    rows: z.array(z.string()).readonly(),
    signature: z.string(),
    committed: sessionPositionSchema.optional(),
  }),
  z.object({
    kind: z.literal('faulted'),
    fault: z.enum(UpstreamFault),
    code: z.string(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal('refused'),
    reason: z.enum(RefusalReason),
    detail: z.string(),
    retryAfterMs: count.optional(),
  }),
]);

const partSchema = z.object({ hash: z.string(), text: z.string() }).readonly();
const id = z.int().nonnegative();

const renewRequestSchema = z.object({
  kind: z.literal(FrameKind.RenewRequest),
  id,
  host: z.string(),
  incarnation: count,
});

const revokeRequestSchema = z.object({
  kind: z.literal(FrameKind.RevokeRequest),
  id,
  item: storeItemSchema,
});

const holdRequestSchema = z.object({
  kind: z.literal(FrameKind.HoldRequest),
  id,
  group: z.string(),
  epoch: count,
  /** Time for which new writes are held, milliseconds. */
  holdMs: count,
});

/** Any valid frame. */
export const frameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(FrameKind.Hello),
    version: count,
    host: z.string(),
    az: z.string(),
    nonce: bytes,
  }),
  z.object({
    kind: z.literal(FrameKind.Challenge),
    version: count,
    host: z.string(),
    az: z.string(),
    nonce: bytes,
    mac: bytes,
  }),
  z.object({ kind: z.literal(FrameKind.Proof), mac: bytes }),
  z.object({ kind: z.literal(FrameKind.Ready), epoch: count }),
  z.object({
    kind: z.literal(FrameKind.Run),
    id,
    epoch: count,
    group: z.string(),
    intent: z.enum(RunIntent),
    /** Handle of the open transaction; 0 if there is none. */
    transaction: count,
    messages: bytes,
    floor: positionSchema,
    barrier: z.boolean(),
    marks: marksSchema,
    /** Remaining time of the request, milliseconds. */
    deadlineMs: count,
  }),
  z.object({
    kind: z.literal(FrameKind.Answer),
    id,
    epoch: count,
    bytes,
    status: z.enum(TransactionStatus),
    transaction: count,
    position: positionSchema.optional(),
    replica: z.boolean(),
    reason: z.enum(RefusalReason).optional(),
    detail: z.string().optional(),
  }),
  z.object({ kind: z.literal(FrameKind.Cancel), id }),
  z.object({ kind: z.literal(FrameKind.Abandon), group: z.string(), transaction: count }),
  z.object({
    kind: z.literal(FrameKind.Heartbeat),
    self: memberSchema,
    /** Version of the active bundle on the sender; 0 if there is none. */
    bundleVersion: count,
    /** Counter of the receiver's updates up to which the sender has received them. */
    heardUpTo: count,
    /** Incarnation of the receiver to which `heardUpTo` applies. */
    heardOf: count,
  }),
  z.object({
    kind: z.literal(FrameKind.Updates),
    incarnation: count,
    upTo: count,
    members: z.array(memberSchema),
    records: z.array(recordSchema),
    /** Head of a bundle, encoded by `encodeHead`. */
    bundle: z.string().optional(),
  }),
  z.object({ kind: z.literal(FrameKind.PartRequest), hashes: z.array(z.string()) }),
  z.object({ kind: z.literal(FrameKind.PartReply), parts: z.array(partSchema) }),
  z.object({
    kind: z.literal(FrameKind.SuspicionRequest),
    id,
    group: z.string(),
    term: count,
  }),
  z.object({
    kind: z.literal(FrameKind.SuspicionReply),
    id,
    suspects: z.boolean(),
  }),
  z.object({ kind: z.literal(FrameKind.RecordUpdate), record: recordSchema }),
  z.object({
    kind: z.literal(FrameKind.SyncRequest),
    id,
    host: z.string(),
    incarnation: count,
    /** Store position up to which the requester has all of the gateway's own documents. */
    ownPosition: storePositionSchema,
    /** Store position of the latest change known to the requester. */
    heard: storePositionSchema,
    /** Age of the requester's proof, milliseconds; omitted if it has none. */
    proofAgeMs: z.number().optional(),
    /** Time for which the reply may be delayed until there is a newer proof or a change, milliseconds. */
    waitMs: count,
    /** How much of the host list the hosts of whole zones have; sent by the first host of a zone. */
    zoneLists: z.array(zoneListSchema).optional(),
  }),
  z.object({
    kind: z.literal(FrameKind.SyncReply),
    id,
    /** Store position up to which the sender is complete. */
    position: storePositionSchema,
    /** Store position of the latest change known to the sender. */
    newest: storePositionSchema,
    /** Store position of the latest change of separately fetched documents: configuration and upstreams. */
    documentsPosition: storePositionSchema,
    /** Changes of the gateway's own documents; omitted if the sender does not know all of them. */
    own: ownChangesSchema.optional(),
    /** Age of the sender's documents when the request arrived, milliseconds; negative if refreshed since. */
    documentsAgeMs: z.number().optional(),
    /** A proof that covers the requester; omitted if there is none. */
    proof: forwardedProofSchema.optional(),
    /** Store position up to which all hosts have the host list; omitted if unknown. */
    settledList: storePositionSchema.optional(),
  }),
  z.object({
    kind: z.literal(FrameKind.DocumentsRequest),
    id,
    /** Store position up to which the requester is complete. */
    position: storePositionSchema,
  }),
  z.object({
    kind: z.literal(FrameKind.DocumentsReply),
    id,
    /** Whether these are all documents; otherwise the changes since the requested position. */
    complete: z.boolean(),
    /** Store position up to which the requester is complete after applying them. */
    position: storePositionSchema,
    /** Encoded by `packDocuments`. */
    packed: bytes,
  }),
  z.object({ kind: z.literal(FrameKind.StoreUpdate), items: z.array(storeItemSchema) }),
  revokeRequestSchema,
  z.object({
    kind: z.literal(FrameKind.RevokeReply),
    id,
    /** Last entries of the group's upstreams that have none any more and may still confirm commits. */
    items: z.array(storeItemSchema).optional(),
  }),
  holdRequestSchema,
  /** Requests that the receiver sends `question` to the other hosts of its zone. */
  z.object({
    kind: z.literal(FrameKind.RoundRequest),
    /** Number that the requester assigned to the round. */
    round: count,
    /** Time for which replies are forwarded, milliseconds. */
    waitMs: count,
    question: z.discriminatedUnion('kind', [
      revokeRequestSchema,
      renewRequestSchema,
      holdRequestSchema,
    ]),
  }),
  /** Replies of hosts in the sender's zone; a round may take several such frames. */
  z.object({
    kind: z.literal(FrameKind.RoundReplies),
    round: count,
    answers: z.array(z.object({ host: z.string(), incarnation: count })),
    /** Documents received with the replies, the newest version of each. */
    items: z.array(storeItemSchema),
    /** Whether this is the last frame of the round. */
    done: z.boolean(),
  }),
  z.object({ kind: z.literal(FrameKind.HoldReply), id }),
  z.object({ kind: z.literal(FrameKind.ReachabilityRequest), id, group: z.string(), epoch: count }),
  z.object({
    kind: z.literal(FrameKind.ReachabilityReply),
    id,
    /** Omitted while the primary accepts connections from the sender but serves none of them. */
    reaches: z.boolean().optional(),
  }),
  z.object({ kind: z.literal(FrameKind.PingRequest), id }),
  z.object({ kind: z.literal(FrameKind.PingReply), id }),
  /** Asks whether the receiver can reach a host that does not answer the sender. */
  z.object({ kind: z.literal(FrameKind.IndirectPingRequest), id, host: z.string() }),
  z.object({ kind: z.literal(FrameKind.IndirectPingReply), id, reached: z.boolean() }),
  renewRequestSchema,
  z.object({
    kind: z.literal(FrameKind.RenewReply),
    id,
    host: z.string(),
    incarnation: count,
    /** All primary records known to the sender, including claims that it has acknowledged. */
    items: z.array(storeItemSchema),
  }),
  /** Requests permission for operations to begin from the owner of a workspace's allowance. */
  z.object({
    kind: z.literal(FrameKind.AllowanceRequest),
    id,
    workspace: z.string(),
    wanted: count,
  }),
  z.object({
    kind: z.literal(FrameKind.AllowanceReply),
    id,
    /** Whether the sender owns this allowance; otherwise the other fields are meaningless. */
    kept: z.boolean(),
    granted: count,
    /** Time until the next operation will be granted, milliseconds. */
    retryAfterMs: count,
  }),
  /** Requests the latest position of a group's primary that the receiver has seen in `epoch`. */
  z.object({ kind: z.literal(FrameKind.WatermarkRequest), id, group: z.string(), epoch: count }),
  z.object({
    kind: z.literal(FrameKind.WatermarkReply),
    id,
    /** Omitted if the sender has none for that epoch. */
    mark: z.object({ position: positionSchema, ageMs: z.number().nonnegative() }).optional(),
  }),
  z.object({
    kind: z.literal(FrameKind.ForwardRequest),
    id,
    operation: z.enum(ForwardOperation),
    /** Statement id assigned by the caller. */
    request: z.string(),
    /** Handle of the open transaction; 0 if there is none. */
    transaction: count,
    route: forwardRouteSchema.optional(),
    /** Workspace of the caller; omitted if workspaces are not distinguished. */
    workspace: z.string().optional(),
    /** Regions in which the data may be; omitted if unrestricted. */
    regions: z.array(z.string()).readonly().optional(),
    readOnly: z.boolean(),
    work: forwardWorkSchema.optional(),
    values: z.array(z.tuple([z.string(), z.string()])),
    own: sessionPositionSchema.optional(),
    /** Time since the start of the statement or of its transaction, milliseconds. */
    beganMs: z.number().nonnegative(),
    /** Time since the arrival of the statement, milliseconds. */
    arrivedMs: z.number().nonnegative(),
  }),
  z.object({
    kind: z.literal(FrameKind.ForwardReply),
    id,
    /** Handle of the transaction opened by a begin; otherwise 0. */
    transaction: count,
    /** Outcome of the statement, of a failed begin, or of the statement sent along with a begin. */
    outcome: forwardOutcomeSchema.optional(),
  }),
  z.object({ kind: z.literal(FrameKind.ForwardRollback), transaction: count }),
]);

/** A frame of any kind. */
export type Frame = z.infer<typeof frameSchema>;
/** A frame of one kind. */
export type FrameOf<Kind extends FrameKind> = Extract<Frame, { readonly kind: Kind }>;
