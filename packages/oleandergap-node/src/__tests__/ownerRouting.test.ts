import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { createOwnerRouting } from "../gateway/ownerRouting.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import { sendHttpRequest, createAnnouncement, createCleanup, startGate, startTarget } from "./support.js";

const TIMED_KEYS = Array.from({ length: 12 }, (_, index) =>
    `01932c5e-7b2a-7000-8000-${String(index).padStart(12, "0")}`);

describe("createOwnerRouting", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    // Guards against a request that runs twice although both copies have the same idempotency key. If the node is
    // selected by load instead of by key, the repeated request can reach a node other than the one that recorded the
    // first run.
    it("sends each key with a timestamp to the same node from every gateway", async () => {
        const clock = createManualClock();
        const startNode = async (name: string): Promise<number> => {
            const target = await startTarget(cleanup.add, (_request, response) => response.end(name));
            const gate = await startGate(cleanup.add, { clock });
            gate.targetManager.announce(createAnnouncement(target));
            return gate.port;
        };
        const members = [createMember("a", await startNode("a")), createMember("b", await startNode("b"))];
        const findOwnerRouter = createOwnerRouting({ clock, partitions: 64 });
        const first = await startGateway(cleanup.add, { clock, targets: members, findOwnerRouter });
        const second = await startGateway(cleanup.add, { clock, targets: [...members].reverse(), findOwnerRouter });
        const sendRequest = async (port: number, key: string): Promise<string> => {
            const headers = { host: HOST, "idempotency-key": key };
            return (await sendHttpRequest({ port, method: "POST", headers })).body.toString();
        };

        const atFirst = await Promise.all(TIMED_KEYS.map((key) => sendRequest(first.port, key)));
        const atSecond = await Promise.all(TIMED_KEYS.map((key) => sendRequest(second.port, key)));

        expect(atSecond).to.deep.equal(atFirst);
        expect(new Set(atFirst)).to.deep.equal(new Set(["a", "b"]));
    });

    it("returns no router for keys without a timestamp and for services without a target", () => {
        const findOwnerRouter = createOwnerRouting({ clock: createManualClock(), partitions: 64 });
        const service = { partner: "halloway", service: "grant-filer" };

        expect(findOwnerRouter(service, "lodgement-0001", [createMember("a", 1)])).to.equal(undefined);
        expect(findOwnerRouter(service, TIMED_KEYS[0] ?? "", [])).to.equal(undefined);
        expect(findOwnerRouter(service, TIMED_KEYS[0] ?? "", [{ ...createMember("a", 1), leaving: true }])).to.equal(undefined);
    });
});
