import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import type { Containment } from "oleandergap-containment";
import { createManualClock, createSystemClock } from "oleandergap-utils";
import { createCrashDetector } from "../gate/crashWatch.js";
import type { GateRequest } from "../gate/gateRequest.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import { createMember, HOST, startGateway } from "./gatewaySupport.js";
import {
    call,
    createAnnouncement,
    createCleanup,
    createLoneContainment,
    gateHeaders,
    LOOPBACK,
    startGate,
    startRawTarget,
    until,
    type CallOptions,
    type GateHarness,
    type Received,
} from "./support.js";

/** A target that can end like a killed process. */
interface MortalTarget {
    readonly port: number;
    readonly held: ServerResponse[];
    readonly end: () => void;
}

const CRASH_PATH = "/crash";
const clock = createSystemClock();

const nameOf = (path: string, method = "GET"): string =>
    fingerprintRequest({ method, host: HOST, path }, { kind: "Empty" });

describe("a request that crashes its target", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    /** Answers all requests but those to `/held...`, and ends when it is asked for the crash path. */
    const startMortalTarget = async (): Promise<MortalTarget> => {
        const held: ServerResponse[] = [];
        const end = (): void => {
            server.close();
            server.closeAllConnections();
        };
        const server = http.createServer((request: IncomingMessage, response: ServerResponse) => {
            if (request.url === CRASH_PATH) {
                end();
            }
            else if (request.url?.startsWith("/held") === true) {
                held.push(response);
            }
            else {
                response.end("read");
            }
        });
        await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
        cleanup.add(end);
        return { port: (server.address() as AddressInfo).port, held, end };
    };

    const startGateOf = async (
        target: MortalTarget,
        containment: Containment<never> = createLoneContainment(clock),
    ): Promise<GateHarness> => {
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.keeper.announce(createAnnouncement(target.port));
        return gate;
    };

    const ask = (
        { port }: Pick<CallOptions, "port">,
        path: string,
        options: Partial<CallOptions> = {},
    ): Promise<Received> =>
        call({ port, path, headers: gateHeaders({ host: HOST }), ...options });

    const containByThree = (containment: Containment<never>, path: string): void =>
        [1, 2, 3].forEach((crash) => containment.noteCrash(`c-${crash}`, `node-${crash}`, nameOf(path)));

    it("is told as a crash, with all that ran beside it", async () => {
        const containment = createLoneContainment(clock);
        const target = await startMortalTarget();
        const gate = await startGateOf(target, containment);
        const bystander = ask(gate, "/held/1");
        await until(() => target.held.length === 1);
        const answers = [await ask(gate, CRASH_PATH), await bystander];

        expect(answers.map(({ statusCode }) => statusCode)).to.deep.equal([502, 502]);
        expect(answers[0]?.headers["oleandergap-crash"]).to.be.a("string");
        expect(answers[1]?.headers["oleandergap-crash"]).to.equal(answers[0]?.headers["oleandergap-crash"]);
        expect([CRASH_PATH, "/held/1", "/other"].map((path) => containment.judge(nameOf(path)).kind))
            .to.deep.equal(["Suspect", "Suspect", "Free"]);
    });

    it("is told as a crash although its target was back before the loss was read", async () => {
        const containment = createLoneContainment(clock);
        const port = await startRawTarget(cleanup.add, (socket) => socket.once("data", () => socket.destroy()));
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.keeper.announce(createAnnouncement(port, { instanceId: "first" }));
        await ask(gate, CRASH_PATH);
        expect(containment.hasSuspects()).to.equal(false);
        gate.keeper.announce(createAnnouncement(port, { instanceId: "second" }));
        await ask(gate, "/read");

        expect([CRASH_PATH, "/read"].map((path) => containment.judge(nameOf(path)).kind))
            .to.deep.equal(["Suspect", "Free"]);
    });

    it("is told without delay, although its target takes no connection", async () => {
        const manual = createManualClock();
        const gateOf = (): never =>
            ({ gate: {}, leaving: false, predecessorGate: undefined, announcement: {} }) as never;
        const target = gateOf();
        const watch = createCrashDetector({
            clock: manual,
            isListenerGone: () => new Promise(() => undefined),
            currentTarget: () => target,
            noteCrash: () => "crash",
            loseTarget: () => undefined,
        });
        const request = { method: "GET", host: HOST, path: "/read", body: { kind: "Empty" } } as unknown as GateRequest;
        let explained: unknown = "waits";
        void watch.startRun(target, request).end("Lost").then((crash) => {
            explained = crash;
        });
        await manual.advance(25);

        expect(explained).to.equal(undefined);
    });

    it("is not blamed when its target has left before another one takes its place", async () => {
        const containment = createLoneContainment(clock);
        const port = await startRawTarget(cleanup.add, (socket) => socket.once("data", () => socket.destroy()));
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.keeper.announce(createAnnouncement(port, { instanceId: "first" }));
        await ask(gate, "/read");
        gate.keeper.announce(createAnnouncement(port, { instanceId: "first", leaving: true }));
        gate.keeper.announce(createAnnouncement(port, { instanceId: "second" }));
        await ask(gate, "/read?page=2");

        expect(containment.hasSuspects()).to.equal(false);
    });

    it("is not blamed for a connection that its target resets while it goes on to listen", async () => {
        const containment = createLoneContainment(clock);
        const port = await startRawTarget(cleanup.add, (socket) => socket.once("data", () => socket.destroy()));
        const gate = await startGate(cleanup.add, { clock, containment });
        gate.keeper.announce(createAnnouncement(port));
        const answer = await ask(gate, "/read");

        expect(answer.statusCode).to.equal(502);
        expect(answer.headers).to.not.have.property("oleandergap-crash");
        expect(containment.hasSuspects()).to.equal(false);
    });

    it("is not blamed for the end of a target that has said that it leaves", async () => {
        const containment = createLoneContainment(clock);
        const target = await startMortalTarget();
        const gate = await startGateOf(target, containment);
        const held = ask(gate, "/held/1");
        await until(() => target.held.length === 1);
        gate.keeper.announce(createAnnouncement(target.port, { leaving: true }));
        target.end();
        await held;

        expect(containment.hasSuspects()).to.equal(false);
    });

    it("leaves a node that offers its target no longer", async () => {
        const target = await startMortalTarget();
        const gate = await startGateOf(target);
        await ask(gate, CRASH_PATH);
        const next = await ask(gate, "/read");

        expect(gate.published.at(-1)).to.equal(undefined);
        expect(next.headers).to.include({ "oleandergap-reason": "NoTarget", "oleandergap-verdict": "notRun" });
    });

    it("sends what waited at the gate elsewhere at once", async () => {
        const target = await startMortalTarget();
        const gate = await startGate(cleanup.add, { clock });
        gate.keeper.announce(createAnnouncement(target.port, { slots: 1 }));
        const running = ask(gate, "/held/1");
        await until(() => target.held.length === 1);
        const waiting = ask(gate, "/read");
        await until(() => gate.keeper.current()?.gate.load().queued === 1);
        target.end();
        await running;

        expect((await waiting).headers).to.include({ "oleandergap-verdict": "notRun" });
    });

    it("is refused once it is contained, by the gateway and by the gate", async () => {
        const containment = createLoneContainment(clock);
        containByThree(containment, "/read");
        const gate = await startGateOf(await startMortalTarget(), containment);
        const targets = [createMember("a", gate.port)];
        const gateway = await startGateway(cleanup.add, { clock, targets, containment });
        for (const answer of [await ask(gate, "/read"), await ask(gateway, "/read")]) {
            expect(answer.statusCode).to.equal(503);
            expect(answer.headers).to.include({ "oleandergap-reason": "Contained", "oleandergap-verdict": "notRun" });
            expect(Number(answer.headers["retry-after"])).to.be.above(0);
        }

        expect((await ask(gateway, "/read?page=2")).statusCode).to.equal(200);
    });

    it("runs at a target beside no other suspect", async () => {
        const target = await startMortalTarget();
        const gate = await startGateOf(target);
        const suspect = { headers: gateHeaders({ host: HOST, "oleandergap-suspect": "yes" }) };
        const first = ask(gate, "/held/1", suspect);
        await until(() => target.held.length === 1);
        const second = ask(gate, "/held/2", suspect);
        expect((await ask(gate, "/read")).statusCode).to.equal(200);
        expect(target.held.length).to.equal(1);
        target.held[0]?.end("first");
        await until(() => target.held.length === 2);
        target.held[1]?.end("second");

        expect((await first).body.toString() + (await second).body.toString()).to.equal("firstsecond");
    });

    it("is not sent on after its second crash, whatever targets are left", async () => {
        const containment = createLoneContainment(clock);
        const crashing = await Promise.all(["a", "b", "c", "d"].map(async (id) => {
            const gate = await startGateOf(await startMortalTarget(), createLoneContainment(clock, id));
            return { id, gate };
        }));
        const targets = crashing.map(({ id, gate }) => createMember(id, gate.port));
        const gateway = await startGateway(cleanup.add, { clock, targets, containment });
        const answer = await ask(gateway, CRASH_PATH);

        expect(answer.headers).to.include({ "oleandergap-reason": "AnswerLost", "oleandergap-verdict": "mayHaveRun" });
        expect(crashing.filter(({ gate }) => gate.keeper.current() === undefined).length).to.equal(2);
        expect(containment.judge(nameOf(CRASH_PATH)).kind).to.equal("Probation");
    });

    it("costs a read that ran beside it no more than another try", async () => {
        const mortals = [await startMortalTarget(), await startMortalTarget()];
        const targets = await Promise.all(mortals.map(async (target, index) => {
            const gate = await startGateOf(target, createLoneContainment(clock, `node-${index}`));
            return createMember(`node-${index}`, gate.port);
        }));
        const gateway = await startGateway(cleanup.add, { clock, targets });
        const read = ask(gateway, "/held/1");
        await until(() => mortals.some(({ held }) => held.length === 1));
        const dying = mortals.find(({ held }) => held.length === 1);
        const sound = mortals.find((target) => target !== dying);
        dying?.end();
        await until(() => sound?.held.length === 1);
        sound?.held[0]?.end("read after all");

        expect((await read).body.toString()).to.equal("read after all");
    });

    it("goes to one target alone on probation, from every gateway", async () => {
        const targets = await Promise.all(["a", "b", "c", "d"].map(async (id) => {
            const gate = await startGateOf(await startMortalTarget(), createLoneContainment(clock, id));
            return { id, gate };
        }));
        const members = targets.map(({ id, gate }) => createMember(id, gate.port));
        for (let gatewayNumber = 0; gatewayNumber < 3; gatewayNumber++) {
            const containment = createLoneContainment(clock);
            [1, 2].forEach((crash) => containment.noteCrash(`c-${crash}`, "x", nameOf(CRASH_PATH)));
            const gateway = await startGateway(cleanup.add, { clock, targets: members, containment });
            await ask(gateway, CRASH_PATH);
        }

        expect(targets.filter(({ gate }) => gate.keeper.current() === undefined).length).to.equal(1);
    });

    it("counts as good once it has been answered whole, and not with an error", async () => {
        const containment = createLoneContainment(clock);
        containment.noteCrash("c-1", "node-1", nameOf("/read"));
        containment.noteCrash("c-1", "node-1", nameOf("/held/1"));
        const target = await startMortalTarget();
        const gate = await startGateOf(target, containment);
        await ask(gate, "/read");
        const failed = ask(gate, "/held/1");
        await until(() => target.held.length === 1);
        target.held[0]?.writeHead(500).end();
        await failed;

        expect(containment.judge(nameOf("/read")).kind).to.equal("Free");
        expect(containment.judge(nameOf("/held/1")).kind).to.equal("Suspect");
    });

    it("is named by nobody while nothing is held against any request", async () => {
        const containment = createLoneContainment(createManualClock());
        const judged: string[] = [];
        const watched = {
            ...containment,
            judge: (fingerprint: string) => {
                judged.push(fingerprint);
                return containment.judge(fingerprint);
            },
        };
        const gate = await startGateOf(await startMortalTarget(), watched);
        const gateway = await startGateway(cleanup.add, {
            clock, targets: [createMember("a", gate.port)], containment: watched,
        });
        await ask(gateway, "/read");

        expect(judged).to.deep.equal([]);
    });
});
