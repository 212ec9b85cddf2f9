import { spawnSync } from "node:child_process";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import * as fc from "fast-check";
import { Packr } from "msgpackr";
import type { Member } from "oleandergap-types";
import { createSeededRandom, pickIndex } from "oleandergap-utils";
import { createDatagramCodec, MAX_DATAGRAM_BYTES, type DatagramParts } from "../datagramCodec.js";
import type { Datagram } from "../messages.js";
import { isSafePayload } from "../payloadGuard.js";
import { createHead, createTarget } from "./testCluster.js";

const codec = createDatagramCodec("test");
const codecModule = new URL("../datagramCodec.js", import.meta.url).href;

const member: Member = {
    id: "node-1",
    zone: "zone-a",
    address: "10.0.0.1",
    controlPort: 17_082,
    gatePort: 17_081,
    incarnation: 1_700_000_000_000,
    state: "suspect",
    revision: 3,
    target: createTarget("grant-filer", true),
};

const withoutTarget = ({ target: _target, ...rest }: Member): Member => ({ ...rest, id: "node-3", linkClass: 6 });

const parts: DatagramParts = {
    zone: "zone-a",
    id: "node-2",
    incarnation: 1_700_000_000_001,
    headsHash: 4_000_000_000,
    body: { kind: "Ping", sequence: 17, targetId: "node-1" },
    heads: [createHead(12), createHead(13)],
};

const bodies: readonly Datagram["body"][] = [
    parts.body,
    { kind: "Ack", sequence: 1 },
    { kind: "PingRequest", sequence: 2, targetId: "n", address: "10.0.0.1", port: 9 },
    { kind: "Nack", sequence: 3 },
    { kind: "Gossip" },
    { kind: "SyncStart", digest: 4_294_967_295 },
    { kind: "SyncBuckets", digests: Array.from({ length: 64 }, (_, index) => index * 60_000_000) },
    { kind: "SyncRecords", requestedBuckets: [0, 63] },
    { kind: "ContactProbe", sequence: 4, needsContacts: true },
    { kind: "ContactReply", sequence: 5 },
    { kind: "ContactReply", sequence: 5, targetsDigest: 2 ** 52 - 1 },
    { kind: "Heads" },
];

const encode = (body: Datagram["body"], records: readonly Member[]): Uint8Array => {
    const open = codec.open({ ...parts, body });
    records.forEach(open.tryAddRecord);
    return open.finish();
};

describe("createDatagramCodec", () => {
    it("decodes the datagrams that it encodes for every kind of message", () => {
        for (const body of bodies) {
            const records = [member, withoutTarget(member)];
            const decoded = codec.decode(encode(body, records));
            expect(decoded).to.deep.equal(either.right({ ...parts, body, records }));
        }
    });

    it("rejects a datagram that declares more elements than it contains, without allocating much memory", () => {
        // Guards against a node that runs out of memory: the decoder allocates arrays of the declared length before it
        // reads the elements. Here, a datagram of 1,170 bytes contains nested declarations of arrays of 65,535
        // elements.
        const script = `
            const { createDatagramCodec } = await import(${JSON.stringify(codecModule)});
            const nested = Buffer.concat(Array.from({ length: 390 }, () => Buffer.from([0xdc, 0xff, 0xff])));
            console.log(createDatagramCodec("test").decode(nested).left);
        `;
        const run = spawnSync(process.execPath, ["--max-old-space-size=64", "--input-type=module", "-e", script]);
        expect([run.status, run.stdout.toString().trim()]).to.deep.equal([0, "Malformed"]);
    });

    it("adds records only while they fit", () => {
        for (const body of bodies) {
            const many = Array.from({ length: 100 }, (_, index) => ({ ...member, id: `node-${String(index)}` }));
            const payload = encode(body, many);
            expect(payload.length).to.be.within(MAX_DATAGRAM_BYTES - 200, MAX_DATAGRAM_BYTES);
            expect(either.isRight(codec.decode(payload))).to.equal(true);
        }
    });

    it("returns the reason for dropping a datagram", () => {
        const foreign = createDatagramCodec("other").open(parts).finish();
        expect(codec.decode(foreign)).to.deep.equal(either.left("OtherCluster"));
        expect(codec.decode(new Uint8Array(MAX_DATAGRAM_BYTES + 1))).to.deep.equal(either.left("Oversized"));
        expect(codec.decode(new Uint8Array(0))).to.deep.equal(either.left("Malformed"));
    });

    it("does not throw for truncated, modified or random payloads", () => {
        // Guards against a node that crashes or stops responding because the decoder throws or lets a value of a wrong
        // type pass. The datagrams are truncated, contain flipped bits or come from another program.
        const whole = encode(parts.body, [member]);
        for (let length = 0; length < whole.length; length++) {
            expect(codec.decode(whole.subarray(0, length))).to.deep.equal(either.left("Malformed"));
        }
        const random = createSeededRandom(1);
        for (let run = 0; run < 20_000; run++) {
            const changed = Uint8Array.from(whole);
            changed[pickIndex(random, changed.length)] = pickIndex(random, 256);
            codec.decode(changed);
        }
        fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), (payload) => {
            expect(either.isLeft(codec.decode(payload))).to.equal(true);
        }), { numRuns: 2000 });
    });
});

describe("isSafePayload", () => {
    it("rejects payloads that declare more elements than they contain", () => {
        // Guards against a node that blocks or runs out of memory: the decoder allocates the declared length before it
        // reads the elements, and a datagram of a few bytes can declare millions of elements or nest such declarations.
        const nested = Buffer.concat(Array.from({ length: 390 }, () => Buffer.from([0xdc, 0xff, 0xff])));
        expect(isSafePayload(Buffer.from([0xdd, 0x01, 0xff, 0xff, 0xff, 1]))).to.equal(false);
        expect(isSafePayload(Buffer.from([0xdc, 0xff, 0xff, 1]))).to.equal(false);
        expect(isSafePayload(nested)).to.equal(false);
        expect(isSafePayload(Buffer.from([0xc5, 0xff, 0xff, 1]))).to.equal(false);
    });

    it("accepts what the packer writes for plain arrays", () => {
        const leaf = fc.oneof(
            fc.nat(),
            fc.maxSafeNat(),
            fc.double({ noNaN: true, min: 0.5, max: 1e300 }),
            fc.boolean(),
            fc.constant(null),
            fc.string({ maxLength: 300 }),
            fc.uint8Array({ maxLength: 300 }),
        );
        const { tree } = fc.letrec((tie) => ({
            tree: fc.oneof({ maxDepth: 3 }, leaf, fc.array(tie("tree"), { maxLength: 40 })),
        }));
        const packer = new Packr({ useRecords: false, mapsAsObjects: true });
        fc.assert(fc.property(tree, (value) => {
            expect(isSafePayload(packer.pack(value))).to.equal(true);
        }), { numRuns: 500 });
    });
});
