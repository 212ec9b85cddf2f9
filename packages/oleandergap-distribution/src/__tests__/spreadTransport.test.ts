import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { DatagramTransport, Endpoint, ReceiveDatagram } from "oleandergap-membership";
import type { PeerAddress } from "../ports.js";
import type { SpreadMessage } from "../spreadMessage.js";
import { createSpreadTransport } from "../spreadTransport.js";

const localEndpoint: Endpoint = { address: "127.0.0.1", port: 1_024 };
const to: PeerAddress = { id: "hall-a-2", zone: "hall-a", address: "127.0.0.2", controlPort: 1_025 };
const message: SpreadMessage = {
    kind: "Step",
    delta: {
        partner: "halloway",
        sequence: 3,
        digest: "a".repeat(64),
        changes: [{ cell: "services/grant-filer/weights/hall-a", after: 200 }, { cell: "zones/old/enabled" }],
    },
    range: { from: 7, to: 4_294_967_296 },
};

interface Loopback {
    readonly transport: DatagramTransport;
    /** Passes a datagram to the receiver that opened the transport. */
    readonly deliver: ReceiveDatagram;
    readonly sent: readonly Uint8Array[];
}

const createLoopback = (): Loopback => {
    const sent: Uint8Array[] = [];
    let receiver: ReceiveDatagram = () => undefined;
    const open: DatagramTransport["open"] = (receive) => async () => {
        receiver = receive;
        return either.right(localEndpoint);
    };
    return {
        transport: { open, send: (_to, payload) => sent.push(payload) },
        deliver: (payload, from) => receiver(payload, from),
        sent,
    };
};

describe("createSpreadTransport", () => {
    it("transfers messages on the same transport as the datagrams of the membership", async () => {
        const loop = createLoopback();
        const spread = createSpreadTransport({ transport: loop.transport, self: { id: "hall-a-1", zone: "hall-a" } });
        const receivedMessages: SpreadMessage[] = [];
        const passedOn: Uint8Array[] = [];
        spread.onMessage((from, received) => {
            expect(from).to.deep.equal({ id: "hall-a-1", zone: "hall-a", address: "127.0.0.1", controlPort: 1_024 });
            receivedMessages.push(received);
        });
        await spread.remainingTransport.open((payload) => passedOn.push(payload), new AbortController().signal)();
        spread.send(to, message);
        const [payload] = loop.sent;
        expect(payload?.length).to.be.within(1, 400);
        loop.deliver(payload ?? new Uint8Array(), localEndpoint);
        loop.deliver(Uint8Array.of(0x98, 1, 2), localEndpoint);
        expect(receivedMessages).to.deep.equal([message]);
        expect(passedOn).to.deep.equal([Uint8Array.of(0x98, 1, 2)]);
    });

    it("drops and counts truncated messages and messages with wrong types", async () => {
        // Guards against a node that crashes or passes on invalid data because it decodes a datagram without
        // validation. A datagram with the mark arrives truncated, empty, or with a wrong type.
        const loop = createLoopback();
        const spread = createSpreadTransport({ transport: loop.transport, self: { id: "hall-a-1", zone: "hall-a" } });
        let receivedCount = 0;
        spread.onMessage(() => {
            receivedCount += 1;
        });
        await spread.remainingTransport.open(() => undefined, new AbortController().signal)();
        spread.send(to, message);
        const whole = loop.sent[0] ?? new Uint8Array();
        for (let length = 1; length < whole.length; length += 7) {
            loop.deliver(whole.slice(0, length), localEndpoint);
        }
        const wrong = Buffer.from(whole).toString("latin1").replace("\"sequence\":3", "\"sequence\":-3");
        loop.deliver(Buffer.from(wrong, "latin1"), localEndpoint);
        expect(receivedCount).to.equal(0);
        expect(spread.stats().dropped).to.equal(Math.ceil((whole.length - 1) / 7) + 1);
    });
});
