/** Encodes message bodies as arrays of the form `[kind, field, field, ...]` and decodes them. */
import { addressSchema, nodeIdSchema, portSchema } from "oleandergap-types";
import { z } from "zod";
import type { MessageBody } from "./messages.js";
import { MAX_TARGETS_DIGEST } from "./targetsDigest.js";

/** Number of buckets into which member records are hashed for anti-entropy comparisons. */
export const BUCKET_COUNT = 64;

const MAX_UINT_32 = 2 ** 32 - 1;

/** Schema of sequence numbers, hashes and digests. */
export const uint32Schema = z.number().int().min(0).max(MAX_UINT_32);
const targetsDigestSchema = z.number().int().min(0).max(MAX_TARGETS_DIGEST);
const bucketSchema = z.number().int().min(0).max(BUCKET_COUNT - 1);

/** Numbers of the message kinds on the wire. A number is never reused for a different kind. */
const kindNumbers = {
    Ping: 1,
    Ack: 2,
    PingRequest: 3,
    Nack: 4,
    Gossip: 5,
    SyncStart: 6,
    SyncBuckets: 7,
    SyncRecords: 8,
    ContactProbe: 9,
    ContactReply: 10,
    Heads: 11,
} as const;

/** Returns the wire form of a body: an array whose first element is the number of the message kind. */
export const encodeBody = (body: MessageBody): readonly unknown[] => {
    const kind = kindNumbers[body.kind];
    switch (body.kind) {
        case "Ping":
            return [kind, body.sequence, body.targetId];
        case "PingRequest":
            return [kind, body.sequence, body.targetId, body.address, body.port];
        case "Ack":
        case "Nack":
            return [kind, body.sequence];
        case "ContactReply":
            return [kind, body.sequence, body.targetsDigest ?? null];
        case "SyncStart":
            return [kind, body.digest];
        case "SyncBuckets":
            return [kind, body.digests];
        case "SyncRecords":
            return [kind, body.requestedBuckets];
        case "ContactProbe":
            return [kind, body.sequence, body.needsContacts];
        case "Gossip":
        case "Heads":
            return [kind];
    }
};

const pingSchema = z
    .tuple([z.literal(kindNumbers.Ping), uint32Schema, nodeIdSchema])
    .transform(([, sequence, targetId]): MessageBody => ({ kind: "Ping", sequence, targetId }));

const pingRequestSchema = z
    .tuple([
        z.literal(kindNumbers.PingRequest),
        uint32Schema,
        nodeIdSchema,
        addressSchema,
        portSchema,
    ])
    .transform(([, sequence, targetId, address, port]): MessageBody => ({
        kind: "PingRequest",
        sequence,
        targetId,
        address,
        port,
    }));

const ackSchema = z
    .tuple([z.literal(kindNumbers.Ack), uint32Schema])
    .transform(([, sequence]): MessageBody => ({ kind: "Ack", sequence }));

const nackSchema = z
    .tuple([z.literal(kindNumbers.Nack), uint32Schema])
    .transform(([, sequence]): MessageBody => ({ kind: "Nack", sequence }));

const gossipSchema = z
    .tuple([z.literal(kindNumbers.Gossip)])
    .transform((): MessageBody => ({ kind: "Gossip" }));

const syncStartSchema = z
    .tuple([z.literal(kindNumbers.SyncStart), uint32Schema])
    .transform(([, digest]): MessageBody => ({ kind: "SyncStart", digest }));

const syncBucketsSchema = z
    .tuple([z.literal(kindNumbers.SyncBuckets), z.array(uint32Schema).length(BUCKET_COUNT)])
    .transform(([, digests]): MessageBody => ({ kind: "SyncBuckets", digests }));

const syncRecordsSchema = z
    .tuple([z.literal(kindNumbers.SyncRecords), z.array(bucketSchema).max(BUCKET_COUNT)])
    .transform(([, requestedBuckets]): MessageBody => ({ kind: "SyncRecords", requestedBuckets }));

const contactProbeSchema = z
    .tuple([z.literal(kindNumbers.ContactProbe), uint32Schema, z.boolean()])
    .transform(([, sequence, needsContacts]): MessageBody => ({ kind: "ContactProbe", sequence, needsContacts }));

const contactReplySchema = z
    .tuple([z.literal(kindNumbers.ContactReply), uint32Schema, targetsDigestSchema.nullable()])
    .transform(([, sequence, targetsDigest]): MessageBody =>
        targetsDigest === null ?
            { kind: "ContactReply", sequence } :
            { kind: "ContactReply", sequence, targetsDigest });

const headsSchema = z
    .tuple([z.literal(kindNumbers.Heads)])
    .transform((): MessageBody => ({ kind: "Heads" }));

const schemasByNumber: ReadonlyMap<unknown, z.ZodType<MessageBody>> = new Map<unknown, z.ZodType<MessageBody>>([
    [kindNumbers.Ping, pingSchema],
    [kindNumbers.Ack, ackSchema],
    [kindNumbers.PingRequest, pingRequestSchema],
    [kindNumbers.Nack, nackSchema],
    [kindNumbers.Gossip, gossipSchema],
    [kindNumbers.SyncStart, syncStartSchema],
    [kindNumbers.SyncBuckets, syncBucketsSchema],
    [kindNumbers.SyncRecords, syncRecordsSchema],
    [kindNumbers.ContactProbe, contactProbeSchema],
    [kindNumbers.ContactReply, contactReplySchema],
    [kindNumbers.Heads, headsSchema],
]);

/** Returns the decoded body, or undefined if the value is not a valid body of a known kind. */
export const decodeBody = (value: readonly unknown[]): MessageBody | undefined => {
    const parsed = schemasByNumber.get(value[0])?.safeParse(value);
    return parsed?.success === true ? parsed.data : undefined;
};
