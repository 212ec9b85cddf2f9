/**
 * Encodes and decodes member records. A record is encoded once, and its bytes are reused for every datagram that
 * contains it.
 */
import {
    addressSchema,
    linkClassSchema,
    memberStateSchema,
    memberTargetSchema,
    nodeIdSchema,
    portSchema,
    type Member,
    type MemberTarget,
    type ZoneName,
} from "oleandergap-types";
import { Packr } from "msgpackr";
import { z } from "zod";

/**
 * Largest incarnation accepted from the network. It leaves room for higher incarnations that are still exact as
 * numbers.
 */
export const MAX_INCARNATION = 2 ** 52;

/** Schema of incarnations received from the network. */
export const incarnationSchema = z.number().int().min(0).max(MAX_INCARNATION);

/**
 * MessagePack encoder for plain arrays and values only. The payload guard rejects records, maps and extension types.
 */
export const packer = new Packr({ useRecords: false, mapsAsObjects: true });

const memberStates = memberStateSchema.options;

const targetTupleSchema = z.tuple([
    memberTargetSchema.shape.partner,
    memberTargetSchema.shape.service,
    memberTargetSchema.shape.slots,
    z.boolean(),
    z.number().nonnegative(),
]);

const recordTupleSchema = z.tuple([
    nodeIdSchema,
    addressSchema,
    portSchema,
    portSchema,
    incarnationSchema,
    z.number().int().min(0).max(memberStates.length - 1),
    z.number().int().nonnegative(),
    targetTupleSchema.nullable(),
    linkClassSchema.nullable(),
]);

type RecordTuple = z.infer<typeof recordTupleSchema>;

const toTargetTuple = (target: MemberTarget): z.infer<typeof targetTupleSchema> => [
    target.partner,
    target.service,
    target.slots,
    target.leaving,
    target.since,
];

const toTuple = (member: Member): RecordTuple => [
    member.id,
    member.address,
    member.controlPort,
    member.gatePort,
    member.incarnation,
    memberStates.indexOf(member.state),
    member.revision,
    member.target === undefined ? null : toTargetTuple(member.target),
    member.linkClass ?? null,
];

const fromTuple = (tuple: RecordTuple, zone: ZoneName): Member => {
    const [id, address, controlPort, gatePort, incarnation, stateIndex, revision, targetTuple, linkClass] = tuple;
    const state = memberStates[stateIndex] ?? "alive";
    const described = { id, zone, address, controlPort, gatePort, incarnation, state, revision };
    const member: Member = linkClass === null ? described : { ...described, linkClass };
    if (targetTuple === null) {
        return member;
    }
    const [partner, service, slots, leaving, since] = targetTuple;
    return { ...member, target: { partner, service, slots, leaving, since } };
};

const encodedRecords = new WeakMap<Member, Uint8Array>();

/** Returns the encoded record without its zone, because the datagram contains the zone once for all its records. */
export const encodeRecord = (member: Member): Uint8Array => {
    const cached = encodedRecords.get(member);
    if (cached !== undefined) {
        return cached;
    }
    // The packer returns a view of its internal buffer, which is overwritten by the next call.
    const encoded = Uint8Array.from(packer.pack(toTuple(member)));
    encodedRecords.set(member, encoded);
    return encoded;
};

/** Returns the decoded record, or undefined if the value is not a valid record. */
export const decodeRecord = (value: unknown, zone: ZoneName): Member | undefined => {
    const parsed = recordTupleSchema.safeParse(value);
    return parsed.success ? fromTuple(parsed.data, zone) : undefined;
};
