import { expect } from "chai";
import {
    createSealedTransport,
    MAX_DATAGRAM_BYTES,
    SEAL_BYTES,
    type DatagramTransport,
    type Endpoint,
    type FleetKeys,
    type SealedTransport,
} from "../index.js";
import { createTestCluster, createEndpoint, createSeed, type TestCluster } from "./testCluster.js";
import { parseKeys, NEW_KEY, OLD_KEY } from "./testKeys.js";

const neverAborted = new AbortController().signal;
const payload = Uint8Array.from([1, 2, 3, 4, 5]);
const [senderEndpoint, receiverEndpoint, otherEndpoint] =
    [1, 2, 3].map(createEndpoint) as [Endpoint, Endpoint, Endpoint];

interface Peer {
    readonly transport: SealedTransport;
    readonly received: Uint8Array[];
    keys: FleetKeys;
}

const startPeer = async (cluster: TestCluster, endpoint: Endpoint, keys: FleetKeys): Promise<Peer> => {
    const transport = createSealedTransport({
        transport: cluster.network.createTransport(endpoint),
        readKeys: () => peer.keys,
    });
    const peer: Peer = { transport, received: [], keys };
    await transport.open((arrived) => peer.received.push(Uint8Array.from(arrived)), neverAborted)();
    return peer;
};

/** Wraps a transport and adds each sent datagram to `copies`. */
const copySentDatagrams = (transport: DatagramTransport, copies: Uint8Array[]): DatagramTransport => ({
    open: transport.open,
    send: (to, sent) => {
        copies.push(sent);
        transport.send(to, sent);
    },
});

/** Returns the sealed form of `payload` as sent by `from`. */
const sealFrom = async (from: Endpoint, keys: FleetKeys): Promise<Uint8Array> => {
    const copies: Uint8Array[] = [];
    const transport = createSealedTransport({
        transport: copySentDatagrams(createTestCluster(1).network.createTransport(from), copies),
        readKeys: () => keys,
    });
    await transport.open(() => undefined, neverAborted)();
    transport.send(receiverEndpoint, payload);
    return copies[0] ?? new Uint8Array();
};

const flipBit = (bytes: Uint8Array, index: number): Uint8Array =>
    bytes.map((byte, position) => position === index ? byte ^ 1 : byte);

describe("createSealedTransport", () => {
    it("transmits payloads between holders of the key within the maximum datagram size", async () => {
        const cluster = createTestCluster(1);
        const sender = await startPeer(cluster, senderEndpoint, parseKeys(NEW_KEY));
        const receiver = await startPeer(cluster, receiverEndpoint, parseKeys(NEW_KEY));
        sender.transport.send(receiverEndpoint, payload);
        await cluster.clock.advance(10);

        expect(receiver.received).to.deep.equal([payload]);
        expect(receiver.transport.stats()).to.include({ sealBytesReceived: SEAL_BYTES, rejected: 0 });
        expect((await sealFrom(senderEndpoint, parseKeys(NEW_KEY))).length).to.equal(payload.length + SEAL_BYTES);
        expect(MAX_DATAGRAM_BYTES + SEAL_BYTES).to.be.at.most(1200);
    });

    it("drops and counts datagrams that were not sent by a holder of the key from the given address", async () => {
        // Guards against an attacker whose datagrams declare members dead or make the attacker a contact. The datagrams
        // have no seal, a forged or truncated one, one of another key, or are copied and sent from another address.
        const cluster = createTestCluster(1);
        const receiver = await startPeer(cluster, receiverEndpoint, parseKeys(NEW_KEY));
        const sealed = await sealFrom(senderEndpoint, parseKeys(NEW_KEY));
        const invalidDatagrams = [
            new Uint8Array(),
            sealed.subarray(0, SEAL_BYTES - 1),
            payload,
            sealed.subarray(0, sealed.length - 1),
            sealed.subarray(1),
            await sealFrom(senderEndpoint, parseKeys(OLD_KEY)),
            ...[...sealed.keys()].map((index) => flipBit(sealed, index)),
        ];
        invalidDatagrams.forEach((datagram) => cluster.network.inject(senderEndpoint, receiverEndpoint, datagram));
        cluster.network.inject(otherEndpoint, receiverEndpoint, sealed);

        expect(receiver.received).to.deep.equal([]);
        expect(receiver.transport.stats()).to.include({ rejected: invalidDatagrams.length + 1, sealBytesReceived: 0 });
        cluster.network.inject(senderEndpoint, receiverEndpoint, sealed);
        expect(receiver.received).to.deep.equal([payload]);
    });

    it("loses no datagrams during a key rotation and rejects the old key afterwards", async () => {
        // Guards against members that are declared dead during a key rotation, because a node uses a key before the
        // others accept it or rejects the old key while it is still in use. The nodes get the new key one after the
        // other.
        const cluster = createTestCluster(1);
        const first = await startPeer(cluster, senderEndpoint, parseKeys(OLD_KEY));
        const second = await startPeer(cluster, receiverEndpoint, parseKeys(OLD_KEY));
        const exchange = async (): Promise<void> => {
            first.transport.send(receiverEndpoint, payload);
            second.transport.send(senderEndpoint, payload);
            await cluster.clock.advance(10);
        };
        for (const keys of [parseKeys(OLD_KEY, NEW_KEY), parseKeys(NEW_KEY, OLD_KEY), parseKeys(NEW_KEY)]) {
            first.keys = keys;
            await exchange();
            second.keys = keys;
            await exchange();
        }
        expect([first.received.length, second.received.length]).to.deep.equal([6, 6]);

        cluster.network.inject(senderEndpoint, receiverEndpoint, await sealFrom(senderEndpoint, parseKeys(OLD_KEY)));
        expect(second.received.length).to.equal(6);
    });

    it("keeps a restarted member alive when all datagrams of its previous process are replayed", async () => {
        // Guards against an old record that replaces a newer one. All datagrams of a member, including its leave
        // announcement, are copied and sent again from its own address, with valid seals, after it has restarted.
        const cluster = createTestCluster(3);
        const copies: Uint8Array[] = [];
        const wrapTransport = (transport: DatagramTransport): DatagramTransport =>
            createSealedTransport({ transport, readKeys: () => parseKeys(NEW_KEY) });
        const [observer] = [0, 2].map((index) => cluster.startNode(index, { wrapTransport }));
        const member = cluster.startNode(1, {
            wrapTransport: (transport) => wrapTransport(copySentDatagrams(transport, copies)),
        });
        await cluster.clock.advance(10_000);
        const left = member.membership.leave();
        await cluster.clock.advance(5000);
        await left;
        member.kill();
        expect(observer?.membership.member(member.id)?.state).to.equal("left");

        const restarted = cluster.startNode(1, { wrapTransport, seeds: [createSeed(0)] });
        await cluster.clock.advance(10_000);
        const before = observer?.membership.member(member.id);
        expect(before).to.include({ state: "alive", incarnation: restarted.membership.self().incarnation });
        copies.forEach((copy) => cluster.network.inject(createEndpoint(1), createEndpoint(0), copy));

        expect(copies.length).to.be.greaterThan(10);
        expect(observer?.membership.member(member.id)).to.deep.equal(before);
        await cluster.clock.advance(20_000);
        expect(observer?.membership.member(member.id)?.state).to.equal("alive");
        expect(restarted.membership.member("node-0")?.state).to.equal("alive");
    });
});
