import type net from "node:net";
import { expect } from "chai";
import { createSystemClock } from "oleandergap-utils";
import {
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    createRecordedClaims,
    sendHttpRequest,
    startGate,
    startRawTarget,
    type ReceivedResponse,
} from "./support.js";

const BODY = "filed";
const HEAD =
    `HTTP/1.1 200 OK\r\noleandergap-request-id: ID\r\ncontent-type: text/plain\r\ncontent-length: ${BODY.length}\r\n\r\n`;
const REQUEST_ID_PATTERN = /oleandergap-request-id: (\S+)/i;
const BAD_GATEWAY = 502;

const closings: readonly (readonly [title: string, close: (socket: net.Socket) => unknown])[] = [
    ["ends", (socket) => socket.end()],
    ["resets", (socket) => socket.resetAndDestroy()],
];

// Guards against a 200 with an empty or short body for a response whose head breaks off.
describe("a response whose head breaks off", () => {
    const cleanup = createCleanup();
    const clock = createSystemClock();
    afterEach(() => cleanup.run());

    /** Starts a target that sends the first bytes of each response, and then closes the connection. */
    const startTruncatingTarget = (
        sentBytes: () => number,
        close: (socket: net.Socket) => unknown,
    ): Promise<number> => startRawTarget(cleanup.add, (socket) => {
        socket.on("data", (request: Buffer) => {
            const id = REQUEST_ID_PATTERN.exec(request.toString("latin1"))?.[1] ?? "";
            socket.write(HEAD.replace("ID", id).slice(0, sentBytes()), () => close(socket));
        });
    });

    for (const [title, close] of closings) {
        it(`is an error at each byte if the target ${title} its connection, also for a request with a key`, async () => {
            let sentBytes = 0;
            const { claims, events } = createRecordedClaims();
            const target = await startTruncatingTarget(() => sentBytes, close);
            const gate = await startGate(cleanup.add, { clock, claims });
            for (sentBytes = 1; sentBytes < HEAD.length; sentBytes++) {
                // The gate removes a target whose heartbeats are missing, however slow this machine is.
                gate.targetManager.announce(createAnnouncement(target));
                for (const method of ["GET", "POST"]) {
                    const headers = createGateHeaders(method === "POST" ? { "idempotency-key": `key-${sentBytes}` } : {});
                    const { statusCode } = await sendHttpRequest({ port: gate.port, method, headers });
                    expect(statusCode, `${method}, ${sentBytes} bytes`).to.equal(BAD_GATEWAY);
                }
            }
            expect(events.filter((event) => event.startsWith("complete"))).to.deep.equal([]);
        }).timeout(60_000);
    }

    it("is no part of the responses to requests that wait for its connection", async () => {
        const target = await startTruncatingTarget(() => HEAD.length - 1, (socket) => socket.end());
        const gate = await startGate(cleanup.add, { clock });
        gate.targetManager.announce({ ...createAnnouncement(target), connections: 1 });
        const send = (index: number): Promise<ReceivedResponse> =>
            sendHttpRequest({ port: gate.port, headers: createGateHeaders({ "oleandergap-request-id": `a-${index}` }) });
        const responses = await Promise.all(Array.from({ length: 8 }, (_, index) => send(index)));
        expect(responses.map(({ statusCode }) => statusCode)).to.deep.equal(responses.map(() => BAD_GATEWAY));
    });
});
