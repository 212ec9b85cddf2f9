import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { Agent, request } from "undici";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { closeAbruptly, listen, readJson, sendJson } from "../../http/jsonHttp.js";
import { startTargetStandIn, type TargetStandIn } from "../targetStandIn.js";

const waitOneMillisecond = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 1));

/** Waits until `isReached` returns true. If it never does, the timeout of the test runner ends the test. */
const waitUntil = async (isReached: () => boolean): Promise<void> => {
    while (!isReached()) {
        await waitOneMillisecond();
    }
};

describe("startTargetStandIn", () => {
    let clock: ManualClock;
    let target: TargetStandIn;
    let agent: Agent;

    const send = (headers: Record<string, string> = {}, signal?: AbortSignal): ReturnType<typeof request> =>
        request(`http://127.0.0.1:${target.port}/file`, {
            method: "POST",
            headers,
            body: "page",
            dispatcher: agent,
            ...(signal === undefined ? {} : { signal }),
        });

    const completeServiceTime = async (): Promise<void> => {
        await clock.advance(100);
    };

    beforeEach(async () => {
        clock = createManualClock();
        agent = new Agent();
        target = await startTargetStandIn({
            id: "t1",
            partner: "halloway",
            service: "wills-desk",
            slots: 2,
            serviceTime: { medianMs: 100, spread: 0 },
            coldStart: { factor: 1, durationMs: 0 },
        }, { clock });
    });

    afterEach(async () => {
        await agent.destroy();
        await target.crash();
    });

    it("returns the received request in its response and counts the run by its key", async () => {
        const sent = send({ "idempotency-key": "k1", "oleandergap-request-id": "r1" });
        await waitUntil(() => target.counters().started === 1);
        await completeServiceTime();
        const response = await sent;

        expect(await response.body.json()).to.include({ target: "t1", path: "/file", runKey: "k1", bodyBytes: 4 });
        expect(target.runLog.entries()).to.deep.equal([{ key: "k1", runs: 1, requestIds: ["r1"] }]);
    });

    it("sheds requests above its slots and reports that they did not run", async () => {
        const inFlight = [send(), send()];
        await waitUntil(() => target.counters().started === 2);
        const shed = await send();
        await completeServiceTime();
        await Promise.all(inFlight);

        expect(shed.statusCode).to.equal(503);
        expect(shed.headers["oleandergap-verdict"]).to.equal("notRun");
        expect(target.counters()).to.include({ started: 2, shed: 1, answered: 2, inFlight: 0 });
    });

    it("refuses a request whose deadline has passed", async () => {
        const response = await send({ "oleandergap-timeout-ms": "0" });

        expect(response.headers["oleandergap-reason"]).to.equal("DeadlinePassed");
        expect(target.counters()).to.include({ started: 0, expired: 1 });
    });

    it("frees the slot when the client disconnects", async () => {
        const abortController = new AbortController();
        const sent = send({}, abortController.signal);
        await waitUntil(() => target.counters().started === 1);
        abortController.abort();
        await sent.catch(() => undefined);
        await waitUntil(() => target.counters().inFlight === 0);

        expect(target.counters()).to.include({ cancelled: 1, answered: 0 });
    });

    it("truncates a response so that the client detects it", async () => {
        // Guards against clients that treat a partial response as complete and show half of a file. The target dies
        // while it responds, so that the connection ends after the headers and half of the body.
        target.setFaults({ cutAnswerShare: 1 });
        const sent = send({ "stand-in-answer-padding": "100000" });
        await waitUntil(() => target.counters().started === 1);
        await completeServiceTime();
        const response = await sent;

        expect(response.statusCode).to.equal(200);
        const read = await response.body.text().then(() => "whole", () => "cut");
        expect(read).to.equal("cut");
    });

    it("makes open connections unresponsive while new connections work", async () => {
        // Guards against requests that wait forever on old connections while requests on new ones are served. This
        // happens if a device between client and target loses the state of an established connection.
        const first = send();
        await waitUntil(() => target.counters().started === 1);
        await completeServiceTime();
        await (await first).body.text();
        expect(target.silenceConnections()).to.equal(1);
        const silentResult = send().then(() => "answered", () => "gave up");
        await waitOneMillisecond();

        const newRequest = request(`http://127.0.0.1:${target.port}/file`, { dispatcher: new Agent() });
        await waitUntil(() => target.counters().started === 2);
        await completeServiceTime();
        expect((await newRequest).statusCode).to.equal(200);
        expect(target.counters()).to.include({ received: 2 });
        await agent.destroy();
        expect(await silentResult).to.equal("gave up");
    });

    it("crashes after processing a request to its crash path, and restarts", async () => {
        target.setFaults({ crashPath: "/file", crashDownMs: 500 });
        const sent = send({ "idempotency-key": "k1" }).then(() => "answered", () => "lost");
        await waitUntil(() => target.counters().started === 1);
        await completeServiceTime();

        expect(await sent).to.equal("lost");
        expect(await send().then(() => "answered", () => "lost")).to.equal("lost");
        target.setFaults({});
        await clock.advance(500);
        const requestAfterRestart = send();
        await waitUntil(() => target.counters().started === 2);
        await completeServiceTime();
        expect((await requestAfterRestart).statusCode).to.equal(200);
        expect(target.counters().crashes).to.equal(1);
    });
});

describe("stop of a target stand-in", () => {
    interface ReceivedAnnouncement {
        readonly method: string;
        readonly leaving: unknown;
    }

    const startAdminServer = async (received: ReceivedAnnouncement[]): Promise<Server> => {
        const admin = createServer((request, response) => {
            void readJson(request).then((body) => {
                const leaving: unknown = Reflect.get(body as object, "leaving");
                received.push({ method: request.method ?? "", leaving });
                sendJson(response, {});
            });
        });
        await listen(admin, "127.0.0.1", 0);
        return admin;
    };

    it("announces that it is leaving, finishes requests in flight, and only then withdraws", async () => {
        // Guards against a planned stop that cuts off a request in flight: the target closes, or withdraws from the
        // node, before a request that takes long has ended.
        const received: ReceivedAnnouncement[] = [];
        const admin = await startAdminServer(received);
        const clock = createManualClock();
        const target = await startTargetStandIn({
            id: "t1",
            partner: "halloway",
            service: "wills-desk",
            serviceTime: { medianMs: 2000, spread: 0 },
            coldStart: { factor: 1, durationMs: 0 },
            node: { address: "127.0.0.1", adminPort: (admin.address() as AddressInfo).port },
        }, { clock });
        const sent = request(`http://127.0.0.1:${target.port}/file`);
        await waitUntil(() => target.counters().started === 1);
        let isStopped = false;
        const stopPromise = target.stop().then(() => {
            isStopped = true;
        });
        await waitUntil(() => received.some(({ leaving }) => leaving === true));
        for (let step = 0; step < 15; step++) {
            await clock.advance(100);
            await waitOneMillisecond();
        }
        expect(received.filter(({ method }) => method === "DELETE")).to.deep.equal([]);
        expect(target.counters().inFlight).to.equal(1);

        await clock.advance(500);
        expect((await sent).statusCode).to.equal(200);
        while (!isStopped) {
            await clock.advance(50);
            await waitOneMillisecond();
        }
        await stopPromise;
        expect(received.at(-1)?.method).to.equal("DELETE");
        await closeAbruptly(admin);
    });
});
