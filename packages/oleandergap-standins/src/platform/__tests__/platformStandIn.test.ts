import { expect } from "chai";
import { request } from "undici";
import { ERA_HEADER } from "oleandergap-platform";
import { createManualClock } from "oleandergap-utils";
import { startPlatformStandIn, type PlatformStandIn } from "../platformStandIn.js";

interface PlatformResponse {
    readonly status: number;
    readonly body: unknown;
    readonly retryAfter: unknown;
}

const post = async (port: number, path: string, body: unknown): Promise<PlatformResponse> => {
    const response = await request(`http://127.0.0.1:${port}${path}`, { method: "POST", body: JSON.stringify(body) });
    const text = await response.body.text();
    return { status: response.statusCode, body: JSON.parse(text), retryAfter: response.headers["retry-after"] };
};

const createPut = (key: string, value: unknown): unknown =>
    ({ operations: [{ kind: "Put", key, condition: { kind: "Any" }, value }] });

const isRejected = (call: Promise<unknown>): Promise<boolean> => call.then(() => false, () => true);

describe("startPlatformStandIn", () => {
    let platform: PlatformStandIn;

    beforeEach(async () => {
        platform = await startPlatformStandIn({ limits: { writesPerSecond: 8, readsPerSecond: 40 } }, {
            clock: createManualClock(),
        });
    });

    afterEach(() => platform.stop());

    it("writes all rows of a transaction or none", async () => {
        await post(platform.port, "/table/transact", createPut("a", 1));
        const refused = await post(platform.port, "/table/transact", {
            operations: [
                { kind: "Put", key: "b", condition: { kind: "Any" }, value: 2 },
                { kind: "Put", key: "a", condition: { kind: "VersionIs", version: { era: 0, version: 7 } }, value: 3 },
            ],
        });

        expect(refused.body).to.deep.equal({ kind: "ConditionFailed", keys: ["a"] });
        expect(platform.state.table.read(["a", "b"])).to.deep.equal([{ key: "a", version: { era: 0, version: 1 }, value: 1 }]);
    });

    it("loses the response after the write took effect", async () => {
        // Guards against callers that write a second time because they assume that a broken connection means no effect.
        // The call takes effect, and the connection breaks before the response. The stand-in must apply the write, or
        // tests against this fault would prove nothing.
        platform.setFaults({ loseAnswersShare: 1 });

        expect(await isRejected(post(platform.port, "/table/transact", createPut("a", 1)))).to.equal(true);
        expect(platform.state.table.read(["a"])).to.have.length(1);
        expect(platform.counters()).to.include({ writes: 1, answersLost: 1 });
    });

    it("has no effect during an outage, whether it refuses calls or resets connections", async () => {
        platform.setFaults({ outage: "refuse" });
        expect(await post(platform.port, "/table/transact", createPut("a", 1))).to.include({ status: 503, retryAfter: "1" });
        platform.setFaults({ outage: "reset" });
        expect(await isRejected(post(platform.port, "/table/transact", createPut("a", 1)))).to.equal(true);

        expect(platform.state.table.size()).to.equal(0);
        expect(platform.counters()).to.include({ writes: 0, refused: 2 });
    });

    it("can fail one kind of call only", async () => {
        platform.setFaults({ byOperation: { Transact: { outage: "refuse" } } });

        expect(await post(platform.port, "/table/transact", createPut("a", 1))).to.include({ status: 503 });
        expect(await post(platform.port, "/table/read", { keys: ["a"] })).to.include({ status: 200 });
    });

    it("responds to writes above its limit with 503 and a retry delay, without effect", async () => {
        const first = await post(platform.port, "/table/transact", createPut("a", 1));
        const second = await post(platform.port, "/table/transact", createPut("a", 2));
        const third = await post(platform.port, "/table/transact", createPut("a", 3));

        expect([first.status, second.status, third.status]).to.deep.equal([200, 200, 503]);
        expect(third.retryAfter).to.equal("1");
        expect(platform.state.table.read(["a"])).to.deep.equal([{ key: "a", version: { era: 0, version: 2 }, value: 2 }]);
        expect(await post(platform.port, "/table/read", { keys: ["a"] })).to.include({ status: 200 });
    });

    it("restores a copy, reports the next era, and assigns versions again", async () => {
        const readEra = async (): Promise<unknown> => {
            const response = await request(`http://127.0.0.1:${platform.port}/table/rows/a`);
            await response.body.dump();
            return response.headers[ERA_HEADER];
        };
        await post(platform.port, "/table/transact", createPut("a", 1));
        expect(await readEra()).to.equal("0");
        expect(await post(platform.port, "/control/restore", {})).to.include({ status: 409 });
        await post(platform.port, "/control/copy", {});
        platform.state.table.transact([{ kind: "Put", key: "a", condition: { kind: "Any" }, value: 2 }]);
        expect(await post(platform.port, "/control/restore", {})).to.deep.include({ status: 200, body: { era: 1 } });
        expect(await readEra()).to.equal("1");
        expect(platform.state.table.read(["a"])).to.deep.equal([{ key: "a", version: { era: 0, version: 1 }, value: 1 }]);
        await post(platform.port, "/table/transact", createPut("a", 3));
        expect(platform.state.table.read(["a"])).to.deep.equal([{ key: "a", version: { era: 1, version: 2 }, value: 3 }]);
    });

    it("rejects invalid and unknown calls", async () => {
        expect(await post(platform.port, "/table/read", { keys: [] })).to.include({ status: 400 });
        expect(await post(platform.port, "/table/unknown", {})).to.include({ status: 404 });
    });

    it("stores complete objects and lists them by prefix", async () => {
        const url = `http://127.0.0.1:${platform.port}/objects`;
        const stored = await request(`${url}/config/one`, { method: "PUT", body: "first" });
        const found = await request(`${url}/config/one`);
        const missing = await request(`${url}/config/two`);
        const listed = await request(`${url}?prefix=config`);

        expect([stored.statusCode, found.statusCode, missing.statusCode]).to.deep.equal([204, 200, 404]);
        expect(await found.body.text()).to.equal("first");
        expect(await listed.body.json()).to.deep.equal({ keys: ["config/one"] });
    });
});

describe("startPlatformStandIn with entrances", () => {
    it("cuts off a single entrance and counts calls per entrance", async () => {
        const platform = await startPlatformStandIn({
            entrances: [{ name: "hall-a", address: "127.0.0.1" }, { name: "hall-b", address: "127.0.0.1" }],
        });
        const [first = 0, second = 0] = platform.entrances.map((entrance) => entrance.port);
        platform.setFaults({ cutEntrances: ["hall-a"] });

        expect(await isRejected(post(first, "/table/read", { keys: ["a"] }))).to.equal(true);
        expect(await post(second, "/table/read", { keys: ["a"] })).to.include({ status: 200 });
        expect(platform.counters().byCaller["hall-b"]).to.include({ reads: 1 });
        await platform.stop();
    });
});
