import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { Agent, request } from "undici";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import { closeAbruptly, listen, readJson, sendJson } from "../../http/jsonHttp.js";
import { startTargetStandIn, type TargetStandIn } from "../targetStandIn.js";

const nextTurn = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 1));

/** Lets the sockets work until `isReached`; the test runner's timeout ends a wait in vain. */
const waitUntil = async (isReached: () => boolean): Promise<void> => {
    while (!isReached()) {
        await nextTurn();
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

    const finishWork = async (): Promise<void> => {
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

    it("tells what it was asked and counts the run under its key", async () => {
        const sent = send({ "idempotency-key": "k1", "oleandergap-request-id": "r1" });
        await waitUntil(() => target.counters().started === 1);
        await finishWork();
        const answer = await sent;

        expect(await answer.body.json()).to.include({ target: "t1", path: "/file", runKey: "k1", bodyBytes: 4 });
        expect(target.runLog.entries()).to.deep.equal([{ key: "k1", runs: 1, requestIds: ["r1"] }]);
    });

    it("sheds above its slots and says truly that it did not run", async () => {
        const held = [send(), send()];
        await waitUntil(() => target.counters().started === 2);
        const shed = await send();
        await finishWork();
        await Promise.all(held);

        expect(shed.statusCode).to.equal(503);
        expect(shed.headers["oleandergap-verdict"]).to.equal("notRun");
        expect(target.counters()).to.include({ started: 2, shed: 1, answered: 2, inFlight: 0 });
    });

    it("refuses a request whose deadline has passed", async () => {
        const answer = await send({ "oleandergap-timeout-ms": "0" });

        expect(answer.headers["oleandergap-reason"]).to.equal("DeadlinePassed");
        expect(target.counters()).to.include({ started: 0, expired: 1 });
    });

    it("frees the slot when the other side hangs up", async () => {
        const hangUp = new AbortController();
        const sent = send({}, hangUp.signal);
        await waitUntil(() => target.counters().started === 1);
        hangUp.abort();
        await sent.catch(() => undefined);
        await waitUntil(() => target.counters().inFlight === 0);

        expect(target.counters()).to.include({ cancelled: 1, answered: 0 });
    });

    it("breaks an answer off so that its reader notices", async () => {
        // Symptom: a reader that takes the part for the whole shows half an estate file.
        // Sequence: the head and half of the body arrive, then the connection ends.
        // Cause: a target that dies while it answers.
        target.setFaults({ cutAnswerShare: 1 });
        const sent = send({ "stand-in-answer-padding": "100000" });
        await waitUntil(() => target.counters().started === 1);
        await finishWork();
        const answer = await sent;

        expect(answer.statusCode).to.equal(200);
        const read = await answer.body.text().then(() => "whole", () => "cut");
        expect(read).to.equal("cut");
    });

    it("falls silent on open connections while new ones work", async () => {
        // Symptom: requests on old connections wait for ever, others are served.
        // Sequence: a connection is made and used; then its other end forgets it; a new one is opened.
        // Cause: something between the two ends that lost track of the connection.
        const first = send();
        await waitUntil(() => target.counters().started === 1);
        await finishWork();
        await (await first).body.text();
        expect(target.silenceConnections()).to.equal(1);
        const silent = send().then(() => "answered", () => "gave up");
        await nextTurn();

        const fresh = request(`http://127.0.0.1:${target.port}/file`, { dispatcher: new Agent() });
        await waitUntil(() => target.counters().started === 2);
        await finishWork();
        expect((await fresh).statusCode).to.equal(200);
        expect(target.counters()).to.include({ received: 2 });
        await agent.destroy();
        expect(await silent).to.equal("gave up");
    });

    it("ends when it has worked on a request to its crash path, and starts again", async () => {
        target.setFaults({ crashPath: "/file", crashDownMs: 500 });
        const sent = send({ "idempotency-key": "k1" }).then(() => "answered", () => "lost");
        await waitUntil(() => target.counters().started === 1);
        await finishWork();

        expect(await sent).to.equal("lost");
        expect(await send().then(() => "answered", () => "lost")).to.equal("lost");
        target.setFaults({});
        await clock.advance(500);
        const again = send();
        await waitUntil(() => target.counters().started === 2);
        await finishWork();
        expect((await again).statusCode).to.equal(200);
        expect(target.counters().crashes).to.equal(1);
    });
});

describe("stop of a target stand-in", () => {
    interface Announced {
        readonly method: string;
        readonly leaving: unknown;
    }

    const startAdmin = async (heard: Announced[]): Promise<Server> => {
        const admin = createServer((request, response) => {
            void readJson(request).then((body) => {
                const leaving: unknown = Reflect.get(body as object, "leaving");
                heard.push({ method: request.method ?? "", leaving });
                sendJson(response, {});
            });
        });
        await listen(admin, "127.0.0.1", 0);
        return admin;
    };

    it("says that it leaves, finishes what is in flight, and only then withdraws", async () => {
        // Symptom: a request in flight is cut off by a planned stop.
        // Sequence: a request runs, the target is asked to stop, the request's work ends long afterwards.
        // Cause: closing, or telling the node that the target is gone, before the exchanges have ended.
        const heard: Announced[] = [];
        const admin = await startAdmin(heard);
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
        let stopped = false;
        const stopping = target.stop().then(() => {
            stopped = true;
        });
        await waitUntil(() => heard.some(({ leaving }) => leaving === true));
        for (let step = 0; step < 15; step++) {
            await clock.advance(100);
            await nextTurn();
        }
        expect(heard.filter(({ method }) => method === "DELETE")).to.deep.equal([]);
        expect(target.counters().inFlight).to.equal(1);

        await clock.advance(500);
        expect((await sent).statusCode).to.equal(200);
        while (!stopped) {
            await clock.advance(50);
            await nextTurn();
        }
        await stopping;
        expect(heard.at(-1)?.method).to.equal("DELETE");
        await closeAbruptly(admin);
    });
});
