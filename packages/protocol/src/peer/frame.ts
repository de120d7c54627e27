/**
 * Messages between the system's own processes: CBOR behind a 32-bit length, checked on arrival.
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
import { TransactionStatus } from '../pg/message-type.js';
import { removedKeySchema, storeItemSchema, storePositionSchema } from './store-documents.js';

/** Version of this protocol; links between unlike versions are refused in the handshake. */
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

/** What a host asks of another one that holds better connections for it. */
export enum ForwardOperation {
  /** A single statement. */
  Run = 'run',
  Begin = 'begin',
  /** A statement inside a transaction. */
  Step = 'step',
  Commit = 'commit',
}

/** What a request does, as the entry classified it. */
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

/** What has changed of the system's own documents since the position asked for; all of them are small. */
const ownChangesSchema = z.object({
  /** Position of the store up to which the receiver has all of them with these. */
  position: storePositionSchema,
  items: z.array(storeItemSchema),
  removed: z.array(removedKeySchema),
});

/** A proof that one host passes on to another. */
const passedProofSchema = z.object({
  /** Age when the question arrived, milliseconds; negative if the proof is from later. */
  ageMs: z.number(),
  /** Position of the store up to which the receiver must hold the system's own documents. */
  position: storePositionSchema,
  /** Whether it is from an answer of the store; else from the word of a majority of the hosts. */
  isFromStore: z.boolean(),
});
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

/** A group's record as it travels between hosts. */
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

/** A member of the deployment as it travels between hosts. */
export const memberSchema = z
  .object({
    host: z.string(),
    az: z.string(),
    address: z.string(),
    port: count,
    /** Start time of the process; a restart is a higher incarnation. */
    incarnation: count,
    state: z.enum(MemberState),
  })
  .readonly();

const sessionPositionSchema = z.object({ epoch: count, position: positionSchema }).readonly();

/** How statements for one database are served, as the forwarding host has it. */
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

/** A text passed on unchanged, or a prepared shape with its arguments. */
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

const renewAskSchema = z.object({
  kind: z.literal(FrameKind.RenewRequest),
  id,
  host: z.string(),
  incarnation: count,
});

const revokeAskSchema = z.object({
  kind: z.literal(FrameKind.RevokeRequest),
  id,
  item: storeItemSchema,
});

const holdAskSchema = z.object({
  kind: z.literal(FrameKind.HoldRequest),
  id,
  group: z.string(),
  epoch: count,
  /** Time for which new writes wait, milliseconds. */
  holdMs: count,
});

/** Every frame that may arrive. */
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
    /** Handle of the open transaction; 0 when there is none. */
    transaction: count,
    messages: bytes,
    floor: positionSchema,
    barrier: z.boolean(),
    marks: marksSchema,
    /** Time left for the request, milliseconds. */
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
    /** Version of the bundle in force on the sender; 0 for none. */
    bundleVersion: count,
    /** Counter of the receiver's news up to which the sender has heard. */
    heardUpTo: count,
    /** Incarnation of the receiver for which `heardUpTo` counts. */
    heardOf: count,
  }),
  z.object({
    kind: z.literal(FrameKind.Updates),
    incarnation: count,
    upTo: count,
    members: z.array(memberSchema),
    records: z.array(recordSchema),
    /** Head of a bundle, as {@link encodeHead} wrote it. */
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
    /** Position of the store up to which the asker has all of the system's own documents. */
    ownPosition: storePositionSchema,
    /** Position of the latest change that the asker has heard of. */
    heard: storePositionSchema,
    /** Age of the asker's proof, milliseconds; missing without one. */
    proofAgeMs: z.number().optional(),
    /** Time for which the question may wait for a newer proof or for news, milliseconds. */
    waitMs: count,
  }),
  z.object({
    kind: z.literal(FrameKind.SyncReply),
    id,
    /** Position of the store up to which the sender is complete. */
    position: storePositionSchema,
    /** Position of the latest change that the sender has heard of. */
    newest: storePositionSchema,
    /** Position of the latest change of a document that is fetched apart: configuration, upstreams. */
    documentsPosition: storePositionSchema,
    /** What has changed of the system's own documents; missing where the sender does not know all of it. */
    own: ownChangesSchema.optional(),
    /** Age of the sender's documents when the question arrived, milliseconds; negative if renewed since. */
    documentsAgeMs: z.number().optional(),
    /** A proof that covers the asker; missing if there is none. */
    proof: passedProofSchema.optional(),
  }),
  z.object({
    kind: z.literal(FrameKind.DocumentsRequest),
    id,
    /** Position of the store up to which the asker is complete. */
    position: storePositionSchema,
  }),
  z.object({
    kind: z.literal(FrameKind.DocumentsReply),
    id,
    /** Whether these are all there are; else what changed since the position asked for. */
    complete: z.boolean(),
    /** Position of the store up to which the asker is complete with them. */
    position: storePositionSchema,
    /** See `packDocuments`. */
    packed: bytes,
  }),
  z.object({ kind: z.literal(FrameKind.StoreUpdate), items: z.array(storeItemSchema) }),
  revokeAskSchema,
  z.object({ kind: z.literal(FrameKind.RevokeReply), id }),
  holdAskSchema,
  /** Asks the receiver to ask the other hosts of its zone. */
  z.object({
    kind: z.literal(FrameKind.RoundRequest),
    /** Number that the asker gave the round. */
    round: count,
    /** Time for which answers are passed on, milliseconds. */
    waitMs: count,
    question: z.discriminatedUnion('kind', [revokeAskSchema, renewAskSchema, holdAskSchema]),
  }),
  /** Answers of hosts of the sender's zone; a round has several such frames. */
  z.object({
    kind: z.literal(FrameKind.RoundReplies),
    round: count,
    answers: z.array(z.object({ host: z.string(), incarnation: count })),
    /** Documents that came with the answers, the newest version of each. */
    items: z.array(storeItemSchema),
    /** Whether no more will come. */
    done: z.boolean(),
  }),
  z.object({ kind: z.literal(FrameKind.HoldReply), id }),
  z.object({ kind: z.literal(FrameKind.ReachabilityRequest), id, group: z.string(), epoch: count }),
  z.object({
    kind: z.literal(FrameKind.ReachabilityReply),
    id,
    /** Missing while the primary accepts connections of the sender and serves none. */
    reaches: z.boolean().optional(),
  }),
  z.object({ kind: z.literal(FrameKind.PingRequest), id }),
  z.object({ kind: z.literal(FrameKind.PingReply), id }),
  /** Asks whether the receiver reaches a host that is silent to the sender. */
  z.object({ kind: z.literal(FrameKind.IndirectPingRequest), id, host: z.string() }),
  z.object({ kind: z.literal(FrameKind.IndirectPingReply), id, reached: z.boolean() }),
  renewAskSchema,
  z.object({
    kind: z.literal(FrameKind.RenewReply),
    id,
    host: z.string(),
    incarnation: count,
    /** Every record of a primary that the sender knows, claims that it has acknowledged included. */
    items: z.array(storeItemSchema),
  }),
  /** Asks the host that keeps a workspace's allowance for operations that may begin. */
  z.object({
    kind: z.literal(FrameKind.AllowanceRequest),
    id,
    workspace: z.string(),
    wanted: count,
  }),
  z.object({
    kind: z.literal(FrameKind.AllowanceReply),
    id,
    /** Whether the sender keeps this allowance; if not, the rest tells nothing. */
    kept: z.boolean(),
    granted: count,
    /** When the next operation will be granted, milliseconds from now. */
    retryAfterMs: count,
  }),
  /** Asks where a group's primary stood of late, as the receiver saw it under `epoch`. */
  z.object({ kind: z.literal(FrameKind.WatermarkRequest), id, group: z.string(), epoch: count }),
  z.object({
    kind: z.literal(FrameKind.WatermarkReply),
    id,
    /** Missing where the receiver has none of that epoch. */
    mark: z.object({ position: positionSchema, ageMs: z.number().nonnegative() }).optional(),
  }),
  z.object({
    kind: z.literal(FrameKind.ForwardRequest),
    id,
    operation: z.enum(ForwardOperation),
    /** Id that the caller gave the statement. */
    request: z.string(),
    /** Handle of the open transaction; 0 when there is none. */
    transaction: count,
    route: forwardRouteSchema.optional(),
    /** Workspace of the caller; missing where none is asked for. */
    workspace: z.string().optional(),
    /** Regions that the data may be in; missing where it may be anywhere. */
    regions: z.array(z.string()).readonly().optional(),
    readOnly: z.boolean(),
    work: forwardWorkSchema.optional(),
    values: z.array(z.tuple([z.string(), z.string()])),
    own: sessionPositionSchema.optional(),
    /** Time since the statement or its transaction began, milliseconds. */
    beganMs: z.number().nonnegative(),
    /** Time since the statement arrived, milliseconds. */
    arrivedMs: z.number().nonnegative(),
  }),
  z.object({
    kind: z.literal(FrameKind.ForwardReply),
    id,
    /** Handle of the transaction that a begin opened; else 0. */
    transaction: count,
    /** Of the statement; of a begin that failed, or of the statement that came with it. */
    outcome: forwardOutcomeSchema.optional(),
  }),
  z.object({ kind: z.literal(FrameKind.ForwardRollback), transaction: count }),
]);

/** A frame of any kind. */
export type Frame = z.infer<typeof frameSchema>;
/** A frame of one kind. */
export type FrameOf<Kind extends FrameKind> = Extract<Frame, { readonly kind: Kind }>;
