import { expect } from "chai";
import { createManualClock } from "oleandergap-utils";
import { readFailure } from "../http/refusal.js";
import { createStopAdmission } from "../stop/stopAdmission.js";
import {
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    sendHttpRequest,
    startGate,
    startTarget,
    TEST_LIMIT,
    waitUntil,
    type ReceivedResponse,
} from "./support.js";

describe("a gate during a stop", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    it("refuses a request that its node cannot finish before it stops, and still accepts shorter ones", async () => {
        let runs = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs++;
            response.end();
        });
        const clock = createManualClock();
        const endsAt = (): number => clock.monotonic() + 1000;
        const stopAdmission = createStopAdmission({ clock, endsAt, assumedDurationMs: 10 });
        const gate = await startGate(cleanup.add, { clock, stopAdmission });
        gate.targetManager.announce(createAnnouncement(target));
        for (let sample = 0; sample < 10; sample++) {
            stopAdmission.recordDuration("long", 1500);
        }
        const send = (kind: string): Promise<ReceivedResponse> =>
            sendHttpRequest({ port: gate.port, headers: createGateHeaders({ "oleandergap-kind": kind }) });

        const refused = await send("long");
        expect(refused.headers).to.include({ "oleandergap-verdict": "notRun", "oleandergap-request-only": "yes" });
        expect(readFailure(refused.headers)).to.include({ kind: "Refused", verdict: "notRun", reason: "StopTooSoon" });
        expect(runs).to.equal(0);
        expect((await send("short")).statusCode).to.equal(200);
    });

    it("starts no request after its wait that the stopping node which sent it would interrupt", async () => {
        const finishRuns: (() => void)[] = [];
        const target = await startTarget(cleanup.add, (_request, response) => finishRuns.push(() => response.end()));
        const clock = createManualClock();
        const stopAdmission = createStopAdmission({ clock, endsAt: () => undefined, assumedDurationMs: 1000 });
        const limit = { ...TEST_LIMIT, concurrency: 1 };
        const gate = await startGate(cleanup.add, { clock, limit, stopAdmission });
        gate.targetManager.announce(createAnnouncement(target));
        const send = (changes: Readonly<Record<string, string>>): Promise<ReceivedResponse> =>
            sendHttpRequest({ port: gate.port, headers: createGateHeaders(changes) });

        const first = send({});
        await waitUntil(() => finishRuns.length === 1);
        const waiting = send({ "oleandergap-sender-stops-in-ms": "3000" });
        await waitUntil(() => gate.targetManager.current()?.gate.load().queued === 1);
        await clock.advance(2500);
        finishRuns[0]?.();

        expect((await first).statusCode).to.equal(200);
        expect(readFailure((await waiting).headers)).to.include({ verdict: "notRun", reason: "StopTooSoon" });
        expect(finishRuns).to.have.length(1);
    });

    it("starts no request that it reads so late that the stopping node which sent it would interrupt it", async () => {
        let runs = 0;
        const target = await startTarget(cleanup.add, (_request, response) => {
            runs++;
            response.end();
        });
        const clock = createManualClock();
        const stopAdmission = createStopAdmission({ clock, endsAt: () => undefined, assumedDurationMs: 1000 });
        const gate = await startGate(cleanup.add, { clock, stopAdmission, recentLag: () => 2500 });
        gate.targetManager.announce(createAnnouncement(target));
        const headers = createGateHeaders({ "oleandergap-sender-stops-in-ms": "3000" });
        const response = await sendHttpRequest({ port: gate.port, headers });
        expect(readFailure(response.headers)).to.include({ verdict: "notRun", reason: "StopTooSoon" });
        expect(runs).to.equal(0);
    });
});
