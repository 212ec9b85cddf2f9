import { expect } from "chai";
import type { ClaimResult } from "oleandergap-idempotency";
import { createManualClock, type ManualClock } from "oleandergap-utils";
import {
    createAnnouncement,
    createCleanup,
    createGateHeaders,
    createRecordedClaims,
    sendHttpRequest,
    startGate,
    startTarget,
    waitUntil,
    type GateHarness,
    type GateHarnessOptions,
    type ReceivedResponse,
} from "./support.js";

/** Time after which no request that waits starts at a leaving target, as in the harness of the gate. */
const LEAVING_QUEUE_MS = 1000;
/** Timeout of a request without a timeout header, as in the harness of the gate. */
const USUAL_TIMEOUT_MS = 5000;

/** A gate whose target counts the requests that reach it. */
interface CountedGate extends GateHarness {
    readonly clock: ManualClock;
    readonly countArrivals: () => number;
}

interface Barrier {
    readonly passed: Promise<void>;
    readonly open: () => void;
}

const createBarrier = (): Barrier => {
    let open: () => void = () => undefined;
    const passed = new Promise<void>((resolve) => {
        open = resolve;
    });
    return { passed, open };
};

describe("a request that was admitted before its target left", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    const startCountedGate = async (
        options: Partial<GateHarnessOptions> = {},
        isAnswered: (arrivals: number) => boolean = () => true,
    ): Promise<CountedGate> => {
        let arrivals = 0;
        const port = await startTarget(cleanup.add, (_request, response) => {
            arrivals += 1;
            if (isAnswered(arrivals)) {
                response.end("done");
            }
        });
        const clock = createManualClock();
        const gate = await startGate(cleanup.add, { clock, ...options });
        gate.targetManager.announce(createAnnouncement(port, { instanceId: "i-1", sequence: 1 }));
        return { ...gate, clock, countArrivals: () => arrivals };
    };

    const leave = async ({ targetManager, clock }: CountedGate): Promise<void> => {
        const announcement = targetManager.current()?.announcement;
        if (announcement !== undefined) {
            targetManager.announce({ ...announcement, leaving: true, sequence: 2 });
        }
        await clock.advance(LEAVING_QUEUE_MS);
    };

    const expectRefused = (response: ReceivedResponse): void => {
        expect(response.statusCode).to.equal(503);
        expect(response.headers).to.include({
            "oleandergap-verdict": "notRun", "oleandergap-reason": "Draining",
        });
    };

    it("is refused unrun if its claim was granted later", async () => {
        const barrier = createBarrier();
        const { claims, events } = createRecordedClaims();
        const slowClaims = {
            claim: async (...parameters: Parameters<typeof claims.claim>): Promise<ClaimResult> => {
                const result = await claims.claim(...parameters);
                await barrier.passed;
                return result;
            },
        };
        const gate = await startCountedGate({ claims: slowClaims });
        const call = sendHttpRequest({
            port: gate.port, method: "POST",
            headers: createGateHeaders({ "idempotency-key": "key-12345678" }),
        });
        await waitUntil(() => events.length === 1);
        await leave(gate);
        barrier.open();

        expectRefused(await call);
        expect(events.at(-1)).to.equal("release");
        expect(gate.countArrivals()).to.equal(0);
    });

    it("is refused unrun if the event loop caught up later", async () => {
        const barrier = createBarrier();
        let waits = 0;
        const gate = await startCountedGate({
            catchUp: () => {
                waits += 1;
                return barrier.passed;
            },
        });
        const call = sendHttpRequest({ port: gate.port, headers: createGateHeaders() });
        await waitUntil(() => waits === 1);
        await leave(gate);
        barrier.open();

        expectRefused(await call);
        expect(gate.countArrivals()).to.equal(0);
    });

    it("is not sent a second time after a silence", async () => {
        const gate = await startCountedGate({}, (arrivals) => arrivals === 1);
        await sendHttpRequest({ port: gate.port, headers: createGateHeaders() });
        const call = sendHttpRequest({ port: gate.port, headers: createGateHeaders() });
        await waitUntil(() => gate.countArrivals() === 2);
        await leave(gate);
        await gate.clock.advance(USUAL_TIMEOUT_MS);

        expect((await call).headers["oleandergap-verdict"]).to.equal("mayHaveRun");
        expect(gate.countArrivals()).to.equal(2);
    });
});
