import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { computeDigest } from "oleandergap-configuration";
import { createLogger } from "oleandergap-logger";
import { createManualClock, createSeededRandom, type ManualClock } from "oleandergap-utils";
import { defaultDistributionOptions, type PeerOptions } from "../options.js";
import { createPeerClient, type PeerClient } from "../peerClient.js";
import { createPeerRequestHandler } from "../peerRequestHandler.js";
import type { PeerAddress } from "../ports.js";
import { createRecordingStore, createTestDocument } from "./recordingStore.js";

const self = { id: "hall-a-1", zone: "hall-a", address: "127.0.0.1", controlPort: 1_024 };
const NEW_CELL = "zones/new/enabled";
const neverAbortedSignal = new AbortController().signal;
const servers = new Set<Server>();
const clients = new Set<PeerClient>();

const listen = async (listener: RequestListener): Promise<PeerAddress> => {
    const server = createServer(listener).listen(0, "127.0.0.1");
    servers.add(server);
    await once(server, "listening");
    return { ...self, controlPort: (server.address() as AddressInfo).port };
};

const createClient = (options: Partial<PeerOptions> = {}, clock: ManualClock = createManualClock()): PeerClient => {
    const client = createPeerClient({ clock, options: { ...defaultDistributionOptions.peer, ...options } });
    clients.add(client);
    return client;
};

const createHandler = (cellCount = 3): RequestListener => {
    const store = createRecordingStore(["halloway", "kushiro"]);
    const cells = Object.fromEntries(Array.from({ length: cellCount }, (_, index) => [`zones/z${index}/enabled`, 1]));
    store.offerDocument(createTestDocument("halloway", 7, cells));
    store.offerDeltas("halloway", [{
        partner: "halloway",
        sequence: 8,
        baseDigest: computeDigest("halloway", cells),
        digest: computeDigest("halloway", { ...cells, [NEW_CELL]: 1 }),
        changes: [{ cell: NEW_CELL, after: 1 }],
    }]);
    return createPeerRequestHandler({
        dependencies: {
            store,
            fleet: { self: () => self, members: () => [self], contacts: () => [{ ...self, id: "far", zone: "hall-b" }] },
            directory: { answerZoneTargets: () => ({ services: [{ kind: "Unchanged" }] }) },
            random: createSeededRandom(1),
            isReady: () => true,
            platformAge: () => 42,
        },
        logger: createLogger("peers"),
        options: defaultDistributionOptions.peer,
    });
};

const post = async (peer: PeerAddress, path: string, body: string): Promise<Response> =>
    fetch(`http://${peer.address}:${peer.controlPort}/peer/${path}`, { method: "POST", body });

describe("createPeerClient", () => {
    afterEach(() => {
        clients.forEach((client) => client.close());
        servers.forEach((server) => server.close());
        servers.forEach((server) => server.closeAllConnections());
        servers.clear();
    });

    it("returns the response of every procedure of a peer", async () => {
        const peer = await listen(createHandler());
        const client = createClient();
        expect(await client.ping(peer, neverAbortedSignal)()).to.deep.equal(either.right({
            id: "hall-a-1",
            ready: true,
            platformAgeMs: 42,
        }));
        const heads = await client.heads(peer, neverAbortedSignal)();
        expect(either.isRight(heads) && heads.right.heads.map((head) => head.sequence)).to.deep.equal([8, 0]);
        const deltas = await client.deltasSince(peer, { partner: "halloway", sequence: 7 }, neverAbortedSignal)();
        expect(either.isRight(deltas) && deltas.right.kind).to.equal("Deltas");
        const whole = await client.deltasSince(peer, { partner: "halloway", sequence: 2 }, neverAbortedSignal)();
        expect(either.isRight(whole) && whole.right.kind).to.equal("Document");
        const document = await client.document(peer, { partner: "halloway" }, neverAbortedSignal)();
        expect(either.isRight(document) && document.right.cells[NEW_CELL]).to.equal(1);
        const contacts = await client.contacts(peer, neverAbortedSignal)();
        expect(either.isRight(contacts) && contacts.right.contacts.map((contact) => contact.id))
            .to.deep.equal(["hall-a-1", "far"]);
        const service = { partner: "halloway", service: "grant-filer" };
        const targets = await client.zoneTargets(peer, { zone: "hall-a", services: [service] }, neverAbortedSignal)();
        expect(targets).to.deep.equal(either.right({ services: [{ kind: "Unchanged" }] }));
    });

    it("adds at most a few hundred bytes of headers to a call", async () => {
        const peer = await listen(createHandler());
        const client = createClient();
        await client.heads(peer, neverAbortedSignal)();
        const before = client.stats();
        await client.heads(peer, neverAbortedSignal)();
        const { bytesSent, bytesReceived } = client.stats();
        expect(bytesSent - before.bytesSent).to.be.within(1, 140);
        expect(bytesReceived - before.bytesReceived).to.be.within(1, 420);
    });

    it("compresses a large document and rejects a document above the size limit", async () => {
        const peer = await listen(createHandler(4_000));
        const client = createClient();
        const document = await client.document(peer, { partner: "halloway" }, neverAbortedSignal)();
        expect(either.isRight(document) && Object.keys(document.right.cells)).to.have.lengthOf(4_001);
        expect(client.stats().bytesReceived).to.be.lessThan(40_000);
        const strict = createClient({ answerBytes: 50_000 });
        expect(await strict.document(peer, { partner: "halloway" }, neverAbortedSignal)())
            .to.deep.equal(either.left({ kind: "TooLarge", limitBytes: 50_000 }));
    });

    it("returns only an error for an invalid response", async () => {
        // Guards against a node that crashes, hangs or applies invalid data because it does not validate a response.
        // The response is not JSON, contains a wrong type, breaks off, or comes from another program.
        const listeners: readonly RequestListener[] = [
            (_request, response) => response.end("<html>"),
            (_request, response) => response.end(JSON.stringify({ result: { data: { ready: "yes", heads: [] } } })),
            (_request, response) => response.writeHead(404).end("no"),
            (_request, response) => {
                response.writeHead(200, { "content-length": 1_000 }).write("{\"result\"");
                setImmediate(() => response.destroy());
            },
            (_request, response) => response.writeHead(200, { "content-encoding": "gzip" }).end("not gzip"),
        ];
        const kinds = [];
        for (const listener of listeners) {
            const outcome = await createClient().heads(await listen(listener), neverAbortedSignal)();
            kinds.push(either.isLeft(outcome) ? outcome.left.kind : "answer");
        }
        expect(kinds).to.deep.equal(["Malformed", "Malformed", "Malformed", "Unreachable", "Unreachable"]);
    });

    it("closes an unresponsive connection after the timeout and opens a new one", async () => {
        // Guards against a connection that is reused after a call on it has timed out. An open connection stops
        // delivering data permanently, while new connections to the same peer work.
        const clock = createManualClock();
        const handler = createHandler();
        let calls = 0;
        const peer = await listen((request, response) => {
            calls += 1;
            if (calls !== 2) {
                handler(request, response);
            }
        });
        const client = createClient({}, clock);
        expect(either.isRight(await client.heads(peer, neverAbortedSignal)())).to.equal(true);
        const pendingCall = client.heads(peer, neverAbortedSignal)();
        while (calls < 2) {
            await new Promise((resolve) => setImmediate(resolve));
        }
        await clock.advance(defaultDistributionOptions.peer.timeoutMs);
        const outcome = await pendingCall;
        expect(either.isLeft(outcome) && outcome.left.kind).to.equal("Unreachable");
        expect(either.isRight(await client.heads(peer, neverAbortedSignal)())).to.equal(true);
        expect(clock.pendingTimers()).to.equal(0);
    });

    it("cancels a call if its signal aborts", async () => {
        const controller = new AbortController();
        const peer = await listen(() => controller.abort());
        expect(await createClient().heads(peer, controller.signal)()).to.deep.equal(either.left({ kind: "Cancelled" }));
    });
});

describe("createPeerRequestHandler", () => {
    it("responds to invalid requests with a clear error and continues to serve", async () => {
        // Guards against an error that escapes the handler and ends the process or breaks later calls. The peer sends
        // wrong types, unknown partners, oversized and incomplete requests, and then a valid request.
        const peer = await listen(createHandler());
        const statuses = [];
        for (const [path, body] of [
            ["deltasSince", "{\"partner\":7}"],
            ["deltasSince", "not json"],
            ["document", "{\"partner\":\"nobody\"}"],
            ["zoneTargets", "x".repeat(200_000)],
            ["unknown", "{}"],
        ] as const) {
            const response = await post(peer, path, body);
            expect(await response.text()).to.include("error").and.not.include(" at ");
            statuses.push(response.status);
        }
        expect(statuses).to.deep.equal([400, 400, 404, 413, 404]);
        const socket = connect(peer.controlPort, peer.address);
        await once(socket, "connect");
        socket.write("POST /peer/heads HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"par");
        socket.destroy();
        expect(either.isRight(await createClient().heads(peer, neverAbortedSignal)())).to.equal(true);
    });
});
