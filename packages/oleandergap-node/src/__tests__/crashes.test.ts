import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import type { Containment } from "oleandergap-containment";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createCrashDetector } from "../gate/crashDetector.js";
import type { GateRequest } from "../gate/gateRequest.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import {
    sendHttpRequest,
    createAnnouncement,
    createCleanup,
    createIsolatedContainment,
    createGateHeaders,
    LOOPBACK,
    startGate,
    startRawTarget,
    waitUntil,
    type CallOptions,
    type GateHarness,
    type ReceivedResponse,
} from "./support.js";

/** A target that can crash like a killed process. */
interface CrashableTarget {
    readonly port: number;
    readonly held: ServerResponse[];
    readonly crash: () => void;
}

const CRASH_PATH = "/crash";
const clock = createSystemClock();

const fingerprintOf = (path: string, method = "GET"): string =>
    fingerprintRequest({ method, host: HOST, path }, { kind: "Empty" });

describe("a request that crashes its target", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    /**
     * Starts a target that holds requests to `/held...`, crashes at a request to the crash path, and responds to all
     * others.
     */
    const startCrashableTarget = async (): Promise<CrashableTarget> => {
        const heldResponses: ServerResponse[] = [];
        const crash = (): void => {
            server.close();
            server.closeAllConnections();
        };
        const server = http.createServer((request: IncomingMessage, response: ServerResponse) => {
            if (request.url === CRASH_PATH) {
                crash();
            }
            else if (request.url?.startsWith("/held") === true) {
                heldResponses.push(response);
            }
            else {
                response.end("read");
            }
        });
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(crash);
        return { port: (server.address() as AddressInfo).port, held: heldResponses, crash };
    };

    const startGateWithTarget = async (
        target: CrashableTarget,
        containment: Containment<never> = createIsolatedContainment(clock),
    ): Promise<GateHarness> => {
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.targetManager.announce(createAnnouncement(target.port));
        return gate;
    };

    const sendRequest = (
        { port }: Pick<CallOptions, "port">,
        path: string,
        options: Partial<CallOptions> = {},
    ): Promise<ReceivedResponse> =>
        sendHttpRequest({ port, path, headers: createGateHeaders({ host: HOST }), ...options });

    const recordThreeCrashes = (containment: Containment<never>, path: string): void =>
        [1, 2, 3].forEach((crash) => containment.recordReportedCrash(`c-${crash}`, `node-${crash}`, fingerprintOf(path)));

    it("is reported as a crash together with all requests that were running concurrently", async () => {
        const containment = createIsolatedContainment(clock);
        const target = await startCrashableTarget();
        const gate = await startGateWithTarget(target, containment);
        const concurrentRequest = sendRequest(gate, "/held/1");
        await waitUntil(() => target.held.length === 1);
        const clientResponses = [await sendRequest(gate, CRASH_PATH), await concurrentRequest];

        expect(clientResponses.map(({ statusCode }) => statusCode)).to.deep.equal([502, 502]);
        expect(clientResponses[0]?.headers["oleandergap-crash"]).to.be.a("string");
        expect(clientResponses[1]?.headers["oleandergap-crash"]).to.equal(clientResponses[0]?.headers["oleandergap-crash"]);
        expect([CRASH_PATH, "/held/1", "/other"].map((path) => containment.judge(fingerprintOf(path)).kind))
            .to.deep.equal(["Suspect", "Suspect", "Free"]);
    });

    it("is reported as a crash even if its target has restarted before the connection loss is read", async () => {
        const containment = createIsolatedContainment(clock);
        const port = await startRawTarget(cleanup.add, (socket) => socket.once("data", () => socket.destroy()));
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.targetManager.announce(createAnnouncement(port, { instanceId: "first" }));
        await sendRequest(gate, CRASH_PATH);
        expect(containment.hasSuspects()).to.equal(false);
        gate.targetManager.announce(createAnnouncement(port, { instanceId: "second" }));
        await sendRequest(gate, "/read");

        expect([CRASH_PATH, "/read"].map((path) => containment.judge(fingerprintOf(path)).kind))
            .to.deep.equal(["Suspect", "Free"]);
    });

    it("fails without further delay if the target does not accept the probe's connection", async () => {
        const manual = createManualClock();
        const createTarget = (): never =>
            ({ gate: {}, leaving: false, predecessorGate: undefined, announcement: {} }) as never;
        const target = createTarget();
        const watch = createCrashDetector({
            clock: manual,
            isListenerGone: () => new Promise(() => undefined),
            currentTarget: () => target,
            recordCrash: () => "crash",
            removeCrashedTarget: () => undefined,
        });
        const request = { method: "GET", host: HOST, path: "/read", body: { kind: "Empty" } } as unknown as GateRequest;
        let crashId: unknown = "pending";
        void watch.startRun(target, request).end("Lost").then((crash) => {
            crashId = crash;
        });
        await manual.advance(25);

        expect(crashId).to.equal(undefined);
    });

    it("is not suspected if its target leaves before another target replaces it", async () => {
        const containment = createIsolatedContainment(clock);
        const port = await startRawTarget(cleanup.add, (socket) => socket.once("data", () => socket.destroy()));
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.targetManager.announce(createAnnouncement(port, { instanceId: "first" }));
        await sendRequest(gate, "/read");
        gate.targetManager.announce(createAnnouncement(port, { instanceId: "first", leaving: true }));
        gate.targetManager.announce(createAnnouncement(port, { instanceId: "second" }));
        await sendRequest(gate, "/read?page=2");

        expect(containment.hasSuspects()).to.equal(false);
    });

    it("is not suspected if its target resets the connection but keeps listening", async () => {
        const containment = createIsolatedContainment(clock);
        const port = await startRawTarget(cleanup.add, (socket) => socket.once("data", () => socket.destroy()));
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.targetManager.announce(createAnnouncement(port));
        const clientResponse = await sendRequest(gate, "/read");

        expect(clientResponse.statusCode).to.equal(502);
        expect(clientResponse.headers).to.not.have.property("oleandergap-crash");
        expect(containment.hasSuspects()).to.equal(false);
    });

    it("is not suspected if its target ends after announcing that it leaves", async () => {
        const containment = createIsolatedContainment(clock);
        const target = await startCrashableTarget();
        const gate = await startGateWithTarget(target, containment);
        const heldRequest = sendRequest(gate, "/held/1");
        await waitUntil(() => target.held.length === 1);
        gate.targetManager.announce(createAnnouncement(target.port, { leaving: true }));
        target.crash();
        await heldRequest;

        expect(containment.hasSuspects()).to.equal(false);
    });

    it("makes the node withdraw its target", async () => {
        const target = await startCrashableTarget();
        const gate = await startGateWithTarget(target);
        await sendRequest(gate, CRASH_PATH);
        const next = await sendRequest(gate, "/read");

        expect(gate.published.at(-1)).to.equal(undefined);
        expect(next.headers).to.include({ "oleandergap-reason": "NoTarget", "oleandergap-verdict": "notRun" });
    });

    it("makes the gate refuse waiting requests immediately", async () => {
        const target = await startCrashableTarget();
        const gate = await startGate(cleanup.add, { clock });
        gate.targetManager.announce(createAnnouncement(target.port, { slots: 1 }));
        const running = sendRequest(gate, "/held/1");
        await waitUntil(() => target.held.length === 1);
        const waiting = sendRequest(gate, "/read");
        await waitUntil(() => gate.targetManager.current()?.gate.load().queued === 1);
        target.crash();
        await running;

        expect((await waiting).headers).to.include({ "oleandergap-verdict": "notRun" });
    });

    it("is refused by the gateway and by the gate when it is contained", async () => {
        const containment = createIsolatedContainment(clock);
        recordThreeCrashes(containment, "/read");
        const gate = await startGateWithTarget(await startCrashableTarget(), containment);
        const targets = [createMember("a", gate.port)];
        const gateway = await startGateway(cleanup.add, { clock, targets, containment });
        for (const clientResponse of [await sendRequest(gate, "/read"), await sendRequest(gateway, "/read")]) {
            expect(clientResponse.statusCode).to.equal(503);
            expect(clientResponse.headers).to.include({ "oleandergap-reason": "Contained", "oleandergap-verdict": "notRun" });
            expect(Number(clientResponse.headers["retry-after"])).to.be.above(0);
        }

        expect((await sendRequest(gateway, "/read?page=2")).statusCode).to.equal(200);
    });

    it("does not run concurrently with another suspect at the same target", async () => {
        const target = await startCrashableTarget();
        const gate = await startGateWithTarget(target);
        const suspect = { headers: createGateHeaders({ host: HOST, "oleandergap-suspect": "yes" }) };
        const first = sendRequest(gate, "/held/1", suspect);
        await waitUntil(() => target.held.length === 1);
        const second = sendRequest(gate, "/held/2", suspect);
        expect((await sendRequest(gate, "/read")).statusCode).to.equal(200);
        expect(target.held.length).to.equal(1);
        target.held[0]?.end("first");
        await waitUntil(() => target.held.length === 2);
        target.held[1]?.end("second");

        expect((await first).body.toString() + (await second).body.toString()).to.equal("firstsecond");
    });

    it("is not retried after its second crash, even if other targets are available", async () => {
        const containment = createIsolatedContainment(clock);
        const targetsWithGates = await Promise.all(["a", "b", "c", "d"].map(async (id) => {
            const gate = await startGateWithTarget(await startCrashableTarget(), createIsolatedContainment(clock, id));
            return { id, gate };
        }));
        const targets = targetsWithGates.map(({ id, gate }) => createMember(id, gate.port));
        const gateway = await startGateway(cleanup.add, { clock, targets, containment });
        const clientResponse = await sendRequest(gateway, CRASH_PATH);

        expect(clientResponse.headers).to.include({ "oleandergap-reason": "AnswerLost", "oleandergap-verdict": "mayHaveRun" });
        expect(targetsWithGates.filter(({ gate }) => gate.targetManager.current() === undefined).length).to.equal(2);
        expect(containment.judge(fingerprintOf(CRASH_PATH)).kind).to.equal("Probation");
    });

    it("costs a concurrent read only one retry", async () => {
        const crashableTargets = [await startCrashableTarget(), await startCrashableTarget()];
        const targets = await Promise.all(crashableTargets.map(async (target, index) => {
            const gate = await startGateWithTarget(target, createIsolatedContainment(clock, `node-${index}`));
            return createMember(`node-${index}`, gate.port);
        }));
        const gateway = await startGateway(cleanup.add, { clock, targets });
        const read = sendRequest(gateway, "/held/1");
        await waitUntil(() => crashableTargets.some(({ held }) => held.length === 1));
        const crashingTarget = crashableTargets.find(({ held }) => held.length === 1);
        const healthyTarget = crashableTargets.find((target) => target !== crashingTarget);
        crashingTarget?.crash();
        await waitUntil(() => healthyTarget?.held.length === 1);
        healthyTarget?.held[0]?.end("read after all");

        expect((await read).body.toString()).to.equal("read after all");
    });

    it("is sent to the same single target by every gateway while on probation", async () => {
        const targets = await Promise.all(["a", "b", "c", "d"].map(async (id) => {
            const gate = await startGateWithTarget(await startCrashableTarget(), createIsolatedContainment(clock, id));
            return { id, gate };
        }));
        const members = targets.map(({ id, gate }) => createMember(id, gate.port));
        for (let gatewayNumber = 0; gatewayNumber < 3; gatewayNumber++) {
            const containment = createIsolatedContainment(clock);
            [1, 2].forEach((crash) => containment.recordReportedCrash(`c-${crash}`, "x", fingerprintOf(CRASH_PATH)));
            const gateway = await startGateway(cleanup.add, { clock, targets: members, containment });
            await sendRequest(gateway, CRASH_PATH);
        }

        expect(targets.filter(({ gate }) => gate.targetManager.current() === undefined).length).to.equal(1);
    });

    it("is cleared by a complete response that is not an error", async () => {
        const containment = createIsolatedContainment(clock);
        containment.recordReportedCrash("c-1", "node-1", fingerprintOf("/read"));
        containment.recordReportedCrash("c-1", "node-1", fingerprintOf("/held/1"));
        const target = await startCrashableTarget();
        const gate = await startGateWithTarget(target, containment);
        await sendRequest(gate, "/read");
        const failed = sendRequest(gate, "/held/1");
        await waitUntil(() => target.held.length === 1);
        target.held[0]?.writeHead(500).end();
        await failed;

        expect(containment.judge(fingerprintOf("/read")).kind).to.equal("Free");
        expect(containment.judge(fingerprintOf("/held/1")).kind).to.equal("Suspect");
    });

    it("is not fingerprinted while there is no evidence against any request", async () => {
        const containment = createIsolatedContainment(createManualClock());
        const judgedFingerprints: string[] = [];
        const recordingContainment = {
            ...containment,
            judge: (fingerprint: string) => {
                judgedFingerprints.push(fingerprint);
                return containment.judge(fingerprint);
            },
        };
        const gate = await startGateWithTarget(await startCrashableTarget(), recordingContainment);
        const gateway = await startGateway(cleanup.add, {
            clock, targets: [createMember("a", gate.port)], containment: recordingContainment,
        });
        await sendRequest(gateway, "/read");

        expect(judgedFingerprints).to.deep.equal([]);
    });
});
