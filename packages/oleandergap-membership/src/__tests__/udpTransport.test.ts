import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createLogger } from "oleandergap-logger";
import { createUdpTransport, type DatagramTransport, type Endpoint, type ReceiveDatagram } from "../index.js";

const logger = createLogger("membership");

const openTransport = async (
    receive: ReceiveDatagram,
    signal: AbortSignal,
): Promise<{ readonly transport: DatagramTransport; readonly endpoint: Endpoint }> => {
    const transport = createUdpTransport({ address: "127.0.0.1", port: 0, logger });
    const endpoint = await transport.open(receive, signal)();
    if (either.isLeft(endpoint)) {
        throw new Error(endpoint.left.detail);
    }
    return { transport, endpoint: endpoint.right };
};

describe("createUdpTransport", () => {
    it("delivers a datagram with the endpoint of its sender, and none after it was closed", async () => {
        const end = new AbortController();
        const received = new Promise<[Uint8Array, Endpoint]>((resolve) => {
            void openTransport((payload, from) => {
                resolve([payload, from]);
            }, end.signal).then(async (receiver) => {
                const sender = await openTransport(() => undefined, end.signal);
                sender.transport.send(receiver.endpoint, Uint8Array.of(1, 2, 3));
            });
        });
        const [payload, from] = await received;
        expect([...payload]).to.deep.equal([1, 2, 3]);
        expect(from.address).to.equal("127.0.0.1");
        end.abort();
    });

    it("reports a port in use, releases it when closed, and ignores datagrams sent while closed", async () => {
        const end = new AbortController();
        const { transport, endpoint } = await openTransport(() => undefined, end.signal);
        const second = createUdpTransport({ ...endpoint, logger });
        const bound = await second.open(() => undefined, end.signal)();
        expect(either.isLeft(bound) && bound.left.kind).to.equal("BindFailed");
        expect(() => {
            second.send(endpoint, Uint8Array.of(1));
        }).to.not.throw();
        end.abort();
        expect(() => {
            transport.send(endpoint, Uint8Array.of(1));
        }).to.not.throw();
        const again = new AbortController();
        const reopened = createUdpTransport({ ...endpoint, logger });
        expect(either.isRight(await reopened.open(() => undefined, again.signal)())).to.equal(true);
        again.abort();
    });
});
