import type { ServerResponse } from "node:http";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { createReadinessState } from "../admin/readiness.js";
import { createNodeLifecycle, type LifecycleDependencies, type NodeLifecycle } from "../nodeLifecycle.js";
import { call, createCleanup, LOOPBACK, reservePorts, until, type Received } from "./support.js";

const DRAIN_MS = 5000;
/** Time after the end of the draining in which a process must be over. */
const END_MS = 600;
const STOP = { serveMs: 1900, serveLongestMs: 3500, acceptMs: 2300, lingerMs: 200, drainTimeoutMs: DRAIN_MS };

const never = (): Promise<never> => new Promise(() => undefined);
const atOnce = (): Promise<void> => Promise.resolve();

/** What a stop waits for; each at once by default. */
interface Waits {
    readonly leaveMembership: () => Promise<void>;
    readonly stopTarget: () => Promise<void>;
    readonly leaveClaims: () => Promise<void>;
    readonly drainClaims: () => Promise<void>;
    readonly destroyPools: () => Promise<void>;
}

const QUICK: Waits = {
    leaveMembership: atOnce, stopTarget: atOnce, leaveClaims: atOnce, drainClaims: atOnce, destroyPools: atOnce,
};

describe("the stop of a node", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    interface Harness {
        readonly clock: ReturnType<typeof createManualClock>;
        readonly node: NodeLifecycle;
        readonly gatewayPort: number;
        readonly isStopped: () => boolean;
        readonly stop: () => void;
        /** Ends the process at once, as a second signal does. */
        readonly abort: () => void;
        /** Requests at the gateway that have no answer yet. */
        readonly open: ServerResponse[];
    }

    /** A node whose gateway answers nothing until `answersAfterMs` after what is under way was given up. */
    const startNode = async (waits: Partial<Waits>, isRecovered = true, answersAfterMs = 0): Promise<Harness> => {
        const clock = createManualClock();
        const life = new AbortController();
        const [gatewayPort = 0, gatePort = 0, controlPort = 0, adminPort = 0] = await reservePorts(4);
        const { leaveMembership, stopTarget, leaveClaims, drainClaims, destroyPools } = { ...QUICK, ...waits };
        const open: ServerResponse[] = [];
        const readiness = createReadinessState();
        const silent = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined };
        const hold = (_request: unknown, response: ServerResponse): void => {
            open.push(response);
        };
        const node = createNodeLifecycle({
            options: {
                listen: { address: LOOPBACK, gatewayPort, gatePort, controlPort, adminPort },
                requests: { maxConnections: 100 },
                stop: STOP,
            },
            clock,
            backgroundClock: clock,
            logger: silent,
            readiness,
            controlPlane: {
                membership: { start: atOnce, leave: leaveMembership },
                directory: { start: () => undefined },
                containment: { start: () => undefined },
                spread: {
                    start: () => undefined,
                    recover: isRecovered ? async () => ({ kind: "Recovered", source: "zone" }) : never,
                },
                peers: { close: () => undefined },
            },
            requestPath: {
                target: { stop: stopTarget, refreshLimit: () => undefined },
                claims: { start: atOnce, leave: leaveClaims, drain: drainClaims },
                claimSweeper: { start: atOnce },
                pools: { sweep: () => undefined, destroy: destroyPools },
                hasSubstitute: () => true,
                canIdentifyLocalTarget: false,
                abandonAll: () => void clock.sleep(answersAfterMs, life.signal).then(() =>
                    open.splice(0).forEach((response) => response.writeHead(503).end())),
            },
            handlers: { gateway: hold, gate: hold, control: hold, admin: hold },
            additionalListeners: [],
            onRecovered: () => undefined,
            signal: life.signal,
        } as unknown as LifecycleDependencies);
        cleanup.add(() => life.abort());
        expect(either.isRight(await node.start()())).to.equal(true);
        await until(() => readiness.recovered === isRecovered);
        let isStopped = false;
        const stop = (): void => void node.stop().then(() => {
            isStopped = true;
        });
        return { clock, node, gatewayPort, isStopped: () => isStopped, stop, abort: () => life.abort(), open };
    };

    /** Resolves when the request is under way, with a function that waits for its answer. */
    const startCall = async ({ gatewayPort, open }: Harness): Promise<() => Promise<Received>> => {
        const before = open.length;
        const answer = call({ port: gatewayPort });
        answer.catch(() => undefined);
        await until(() => open.length > before);
        return () => answer;
    };

    const BLOCKED: Readonly<Record<string, Partial<Waits>>> = {
        "the hand-over of keys waits for a silent store": { leaveClaims: never },
        "outcomes wait for a silent store": { drainClaims: never },
        "other nodes cannot be told": { leaveMembership: never },
        "runs go on at the target": { stopTarget: never },
        "connections do not close": { destroyPools: never },
    };
    for (const [what, waits] of Object.entries(BLOCKED)) {
        it(`is over in time, so that the platform need not kill it, while ${what}`, async () => {
            const harness = await startNode(waits);
            harness.stop();
            await harness.clock.advance(DRAIN_MS + END_MS);
            expect(harness.isStopped()).to.equal(true);
        });
    }

    it("is over soon on a node that has served nobody yet, since it recovers", async () => {
        const harness = await startNode({}, false);
        harness.stop();
        await harness.clock.advance(STOP.lingerMs);
        expect(harness.isStopped()).to.equal(true);
    });

    it("is over at once after a second signal, whatever it waits for", async () => {
        const harness = await startNode({ leaveClaims: never, leaveMembership: never });
        harness.stop();
        await harness.clock.advance(3000);
        harness.abort();
        await harness.clock.advance(0);
        expect(harness.isStopped()).to.equal(true);
    });

    it("leaves no caller without an answer when a step before the end hangs", async () => {
        const harness = await startNode({ leaveMembership: never });
        const answer = await startCall(harness);
        harness.stop();
        await harness.clock.advance(DRAIN_MS);
        expect((await answer()).statusCode).to.equal(503);
        await harness.clock.advance(END_MS);
        expect(harness.isStopped()).to.equal(true);
    });

    it("lets what runs finish although other nodes cannot be told", async () => {
        const harness = await startNode({
            leaveMembership: () => Promise.reject(new Error("no socket")),
            leaveClaims: () => Promise.reject(new Error("no store")),
        });
        const answer = await startCall(harness);
        harness.stop();
        await harness.clock.advance(STOP.serveLongestMs);
        harness.open.splice(0).forEach((response) => response.writeHead(200).end());
        expect((await answer()).statusCode).to.equal(200);
        await harness.clock.advance(END_MS);
        expect(harness.isStopped()).to.equal(true);
    });

    it("leaves no caller without an answer when the process is behind with its final answers", async () => {
        const harness = await startNode({ stopTarget: never }, true, 350);
        const answer = await startCall(harness);
        harness.stop();
        await harness.clock.advance(DRAIN_MS + 350);
        expect((await answer()).statusCode).to.equal(503);
        await harness.clock.advance(END_MS - 350);
        expect(harness.isStopped()).to.equal(true);
    });
});
