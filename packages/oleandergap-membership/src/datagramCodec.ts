/**
 * Encodes datagrams as MessagePack and decodes them. A received datagram is validated completely; a single invalid part
 * causes the whole datagram to be dropped.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    nodeIdSchema,
    partnerNameSchema,
    sequenceSchema,
    zoneNameSchema,
    type Head,
    type Member,
} from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import { z } from "zod";
import { decodeBody, encodeBody, uint32Schema } from "./bodyCodec.js";
import type { Datagram } from "./messages.js";
import { isSafePayload } from "./payloadGuard.js";
import { decodeRecord, encodeRecord, incarnationSchema, packer } from "./recordCodec.js";
import { SEAL_BYTES } from "./sealedTransport.js";
import type { DropReason } from "./statistics.js";

/** Largest UDP payload, in bytes, that is not fragmented on any common network path. */
const MAX_UDP_PAYLOAD_BYTES = 1200;
/** Largest datagram of the membership protocol, in bytes, without the seal. */
export const MAX_DATAGRAM_BYTES = MAX_UDP_PAYLOAD_BYTES - SEAL_BYTES;
/** Framing overhead in bytes of one record within the list of records, and of the list itself. */
const RECORD_FRAME_BYTES = 2;
const LIST_FRAME_BYTES = 3;
/**
 * Version of the wire format. It is incremented with each change that older nodes cannot decode; nodes with different
 * versions drop each other's datagrams.
 */
const FORMAT_VERSION = 2;
const DIGEST_BYTES = 32;
const MAX_RECORDS = 256;
/**
 * Largest number of heads in a received datagram, and the number that is sent. The sent heads fit into a datagram even
 * with the longest names.
 */
const MAX_HEADS = 24;
const MAX_SENT_HEADS = 8;

const digestBytesSchema = z.instanceof(Uint8Array).refine((bytes) => bytes.length === DIGEST_BYTES);

const headTupleSchema = z
    .tuple([partnerNameSchema, sequenceSchema, digestBytesSchema])
    .transform(([partner, sequence, digest]): Head => ({
        partner,
        sequence,
        digest: Buffer.from(digest).toString("hex"),
    }));

const envelopeSchema = z.tuple([
    uint32Schema,
    zoneNameSchema,
    nodeIdSchema,
    incarnationSchema,
    uint32Schema,
    z.array(z.unknown()),
    z.array(z.instanceof(Uint8Array)).max(MAX_RECORDS),
    z.array(headTupleSchema).max(MAX_HEADS).nullable(),
]);

/** Content of a datagram before the records are added. */
export type DatagramParts = Omit<Datagram, "records">;

/** Builds a datagram by adding records until it is full. */
export interface DatagramBuilder {
    /** Returns the number of bytes left for encoded records. */
    readonly remainingBytes: () => number;
    /** Adds a record and returns true if the record fits, otherwise returns false. */
    readonly tryAddRecord: (member: Member) => boolean;
    readonly finish: () => Uint8Array;
}

/**
 * `open` starts a new datagram; `decode` returns the decoded datagram or the reason for dropping it. `decode` does not
 * throw for any payload.
 */
export interface DatagramCodec {
    readonly open: (parts: DatagramParts) => DatagramBuilder;
    readonly decode: (payload: Uint8Array) => Either<DropReason, Datagram>;
}

/** Returns the number of bytes that a record takes up in a datagram. */
export const measureRecordBytes = (member: Member): number => encodeRecord(member).length + RECORD_FRAME_BYTES;

const encodeHead = (head: Head): readonly unknown[] => [
    head.partner,
    head.sequence,
    Buffer.from(head.digest, "hex"),
];

/** Encodes only the first heads, so that a long list cannot make the datagram too large to send. */
const encodeHeads = (heads: readonly Head[] | undefined): readonly unknown[] | null =>
    heads === undefined ? null : heads.slice(0, MAX_SENT_HEADS).map(encodeHead);

const decodeRecords = (parts: readonly Uint8Array[], zone: string): readonly Member[] | undefined => {
    const records: Member[] = [];
    for (const part of parts) {
        const record = isSafePayload(part) ? decodeRecord(packer.unpack(part), zone) : undefined;
        if (record === undefined) {
            return undefined;
        }
        records.push(record);
    }
    return records;
};

const decodeEnvelope = (value: unknown, clusterHash: number): Either<DropReason, Datagram> => {
    const parsed = envelopeSchema.safeParse(value);
    if (!parsed.success) {
        return either.left("Malformed");
    }
    const [cluster, zone, id, incarnation, headsHash, bodyParts, recordParts, heads] = parsed.data;
    if (cluster !== clusterHash) {
        return either.left("OtherCluster");
    }
    const body = decodeBody(bodyParts);
    const records = decodeRecords(recordParts, zone);
    if (body === undefined || records === undefined) {
        return either.left("Malformed");
    }
    const datagram = { zone, id, incarnation, headsHash, body, records };
    return either.right(heads === null ? datagram : { ...datagram, heads });
};

/** Creates a codec for one cluster. Nodes with different cluster names drop each other's datagrams. */
export const createDatagramCodec = (clusterName: string): DatagramCodec => {
    const clusterHash = hashText(`${clusterName}/${String(FORMAT_VERSION)}`);

    const open = (parts: DatagramParts): DatagramBuilder => {
        const records: Uint8Array[] = [];
        const pack = (): Uint8Array => Uint8Array.from(packer.pack([
            clusterHash,
            parts.zone,
            parts.id,
            parts.incarnation,
            parts.headsHash,
            encodeBody(parts.body),
            records,
            encodeHeads(parts.heads),
        ]));
        const empty = pack();
        let remainingBytes = MAX_DATAGRAM_BYTES - LIST_FRAME_BYTES - empty.length;
        return {
            remainingBytes: () => remainingBytes,
            tryAddRecord: (member) => {
                const size = measureRecordBytes(member);
                if (size > remainingBytes || records.length >= MAX_RECORDS) {
                    return false;
                }
                records.push(encodeRecord(member));
                remainingBytes -= size;
                return true;
            },
            finish: () => records.length === 0 ? empty : pack(),
        };
    };

    const decode = (payload: Uint8Array): Either<DropReason, Datagram> => {
        if (payload.length > MAX_DATAGRAM_BYTES) {
            return either.left("Oversized");
        }
        if (!isSafePayload(payload)) {
            return either.left("Malformed");
        }
        try {
            return decodeEnvelope(packer.unpack(payload), clusterHash);
        }
        catch {
            return either.left("Malformed");
        }
    };

    return { open, decode };
};
