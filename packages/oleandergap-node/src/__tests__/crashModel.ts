/**
 * Simulation of a fleet in virtual time whose targets crash when they run certain requests. Gateways and gates use the
 * production code for their decisions. The network is in memory, and the simulated targets have run times and slots and
 * restart after a crash.
 */
import * as either from "fp-ts/lib/Either.js";
import {
    createContainment,
    defaultContainmentOptions,
    type Containment,
    type EvidenceMessage,
} from "oleandergap-containment";
import { createLogger } from "oleandergap-logger";
import type { TargetMember } from "oleandergap-membership";
import { createMemoryTableService } from "oleandergap-platform";
import type { Milliseconds, RequestFailure } from "oleandergap-types";
import {
    createManualClock,
    createSeededRandom,
    pickIndex,
    pickOne,
    type ManualClock,
    type Random,
} from "oleandergap-utils";
import { createContainmentGuard, createContainmentCheck } from "../gate/containmentGuard.js";
import { createCrashDetector, type CrashDetector } from "../gate/crashDetector.js";
import type { GateRequest, ServeAtGate } from "../gate/gateRequest.js";
import { createRequestContainment } from "../gateway/requestContainment.js";
import { createBufferedBody } from "../http/upstreamResponse.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { LocalTarget } from "../target/localTarget.js";

/** Parameters of a simulation. */
export interface CrashScenario {
    readonly seed: number;
    /** Nodes send no evidence to other nodes. */
    readonly sharesNoEvidence?: boolean;
    /** Good runs do not remove the suspicion from a request. */
    readonly ignoresGoodRuns?: boolean;
    /** One target per second crashes spontaneously, and no request crashes targets. */
    readonly hasSpontaneousCrashes?: boolean;
}

/** Result of a simulation. */
export interface CrashOutcome {
    readonly crashes: number;
    /**
     * Runs of the crashing request at informed nodes that began more than `EVIDENCE_SPREAD_MS` after its third crash.
     */
    readonly lateCrashRuns: number;
    /** Number of harmless requests that were refused as contained. */
    readonly harmlessRefused: number;
    readonly harmlessServed: number;
    readonly harmlessSent: number;
}

interface SimulatedNode {
    readonly member: TargetMember;
    containment: Containment<SimulatedNode>;
    serve: ServeAtGate;
    abortController: AbortController;
    startedAt: Milliseconds;
    /** The target as announced; its process may have ended already. */
    target: LocalTarget | undefined;
    isTargetUp: boolean;
    running: number;
    readonly abortRuns: Set<() => void>;
}

/** Time within which evidence reaches all connected nodes. */
export const EVIDENCE_SPREAD_MS: Milliseconds = 3000;
const PARTITION_MS: Milliseconds = 3000;
const DURATION_MS: Milliseconds = 12_000;
const TARGET_DOWN_MS: Milliseconds = 3000;
const DEADLINE_MS: Milliseconds = 1500;
const CRASH_PATH = "/crash";
const POPULAR_PATH = "/popular";
const MAX_ATTEMPTS = 3;
const ZONE_COUNT = 3;

const createRefusal = (reason: "NoTarget" | "QueueFull"): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 100 });
const LOST_RESPONSE: RequestFailure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "the target ended" };

const drawNumber = (random: Random, minimum: number, maximum: number): number =>
    minimum + random() * (maximum - minimum);

/** Runs one simulation to its end. */
export const simulateCrashes = async (
    { seed, sharesNoEvidence, ignoresGoodRuns, hasSpontaneousCrashes }: CrashScenario,
): Promise<CrashOutcome> => {
    const random = createSeededRandom(seed);
    const clock: ManualClock = createManualClock();
    const slots = 4 + pickIndex(random, 15);
    const crashesPerSecond = drawNumber(random, 0.5, 6);
    const harmlessPerSecond = drawNumber(random, 10, 40);
    const lossRate = random() < 0.5 ? 0 : random() * 0.2;
    const isIdempotent = random() < 0.7;
    const partition = random() < 0.3 ?
        { zone: pickIndex(random, ZONE_COUNT), from: drawNumber(random, 0, 6000) } :
        undefined;
    const tableService = createMemoryTableService();
    const abortController = new AbortController();
    const startedAt = clock.monotonic();
    let crashes = 0;
    let thirdCrashAt = Number.POSITIVE_INFINITY;
    let lateCrashRuns = 0;
    let harmlessRefused = 0;
    let harmlessServed = 0;
    let harmlessSent = 0;

    const zoneOf = (node: SimulatedNode): string => node.member.zone;
    const arePartitioned = (one: SimulatedNode, other: SimulatedNode): boolean => {
        const time = clock.monotonic() - startedAt;
        const isDue = partition !== undefined && time >= partition.from && time < partition.from + PARTITION_MS;
        return isDue && (zoneOf(one) === `zone-${partition.zone}`) !== (zoneOf(other) === `zone-${partition.zone}`);
    };
    /** Returns whether a node has run for long enough, without a network partition, to have received all evidence. */
    const isInformed = (node: SimulatedNode): boolean => {
        const time = clock.monotonic() - startedAt;
        const wasPartitioned = partition !== undefined && time >= partition.from &&
            time < partition.from + PARTITION_MS + EVIDENCE_SPREAD_MS;
        return clock.monotonic() - node.startedAt >= EVIDENCE_SPREAD_MS && !wasPartitioned;
    };

    const send = (from: SimulatedNode, to: SimulatedNode, message: EvidenceMessage): void => {
        if (sharesNoEvidence !== true && !arePartitioned(from, to) && random() >= lossRate) {
            clock.after(drawNumber(random, 0.5, 20), () => to.containment.receive(from, message));
        }
    };

    const crashTarget = (node: SimulatedNode): void => {
        if (node.isTargetUp) {
            node.isTargetUp = false;
            [...node.abortRuns].forEach((abort) => abort());
            clock.after(TARGET_DOWN_MS, () => startTarget(node));
        }
    };

    const startTarget = (node: SimulatedNode): void => {
        // The crash detector uses only the identity of the gate and whether the target is leaving.
        node.target = {
            gate: {}, leaving: false, predecessorGate: undefined, announcement: {},
        } as unknown as LocalTarget;
        node.isTargetUp = true;
        node.running = 0;
    };

    const recordRun = (node: SimulatedNode, path: string): void => {
        if (path === CRASH_PATH && clock.monotonic() > thirdCrashAt + EVIDENCE_SPREAD_MS && isInformed(node)) {
            lateCrashRuns += 1;
        }
    };

    /** Runs a request at the target of a node. Resolves with false if the target crashed during the run. */
    const runRequest = (
        node: SimulatedNode,
        { path, signal }: GateRequest,
    ): Promise<boolean> => new Promise((resolve) => {
        const settle = (isCompleted: boolean): void => {
            node.abortRuns.delete(abort);
            cancel();
            resolve(isCompleted);
        };
        const abort = (): void => settle(false);
        node.abortRuns.add(abort);
        const cancel = clock.after(drawNumber(random, 50, 150), () => {
            if (path === CRASH_PATH && !signal.aborted) {
                crashes += 1;
                thirdCrashAt = crashes === 3 ? clock.monotonic() : thirdCrashAt;
                crashTarget(node);
                return;
            }
            settle(true);
        });
    });

    const createServe = (node: SimulatedNode, detector: CrashDetector): ServeAtGate => async (request) => {
        const { target } = node;
        if (target === undefined || !node.isTargetUp) {
            return either.left(createRefusal("NoTarget"));
        }
        const refusal = createContainmentCheck(node.containment)(request);
        if (refusal !== undefined || node.running >= slots) {
            return either.left(refusal ?? createRefusal("QueueFull"));
        }
        node.running += 1;
        recordRun(node, request.path);
        const run = detector.startRun(target, request);
        if (!await runRequest(node, request)) {
            return either.left({ ...LOST_RESPONSE, crash: await run.end("Lost") });
        }
        node.running -= 1;
        await run.end("Completed");
        if (ignoresGoodRuns !== true) {
            node.containment.recordLocalGoodRun(fingerprintRequest(request, request.body));
        }
        return either.right({ statusCode: 200, headers: {}, body: createBufferedBody(Buffer.from("read")) });
    };

    const startNode = (node: SimulatedNode): void => {
        node.abortController.abort();
        node.abortController = new AbortController();
        node.startedAt = clock.monotonic();
        node.containment = createContainment<SimulatedNode>({
            nodeId: node.member.nodeId,
            bootId: String(node.startedAt),
            clock,
            random,
            logger: createLogger("test"),
            options: defaultContainmentOptions,
            network: {
                members: () => nodes.filter((other) => other !== node && zoneOf(other) === zoneOf(node)),
                contacts: () => nodes.filter((other) => zoneOf(other) !== zoneOf(node)).slice(0, 6),
                isInSameZone: (other) => zoneOf(other) === zoneOf(node),
                isFirstInZone: () => nodes.find((other) => zoneOf(other) === zoneOf(node)) === node,
                send: (to, message) => send(node, to, message),
            },
            tableService,
            signal: AbortSignal.any([abortController.signal, node.abortController.signal]),
        });
        const crashDetector = createCrashDetector({
            clock,
            isListenerGone: () => Promise.resolve(!node.isTargetUp),
            currentTarget: () => node.target,
            recordCrash: node.containment.recordLocalCrash,
            removeCrashedTarget: () => {
                node.target = undefined;
            },
        });
        node.serve = createContainmentGuard(clock, node.containment, createServe(node, crashDetector));
        node.containment.start();
    };

    const nodes = Array.from({ length: 4 + pickIndex(random, 7) }, (_, index): SimulatedNode => ({
        member: {
            nodeId: `node-${index}`, zone: `zone-${index % ZONE_COUNT}`, address: "127.0.0.1", gatePort: 1, slots,
            leaving: false, since: 0,
        },
        containment: undefined as unknown as Containment<SimulatedNode>,
        serve: () => Promise.resolve(either.left(createRefusal("NoTarget"))),
        abortController: new AbortController(),
        startedAt: 0,
        target: undefined,
        isTargetUp: false,
        running: 0,
        abortRuns: new Set(),
    }));
    nodes.forEach((node) => {
        startTarget(node);
        startNode(node);
        node.startedAt = startedAt - EVIDENCE_SPREAD_MS;
    });

    const sendRequest = async (path: string, isRetryable: boolean): Promise<either.Either<RequestFailure, unknown>> => {
        const gatewayNode = pickOne(random, nodes);
        const request = { method: "GET", host: "a.example", path };
        const body = { kind: "Empty" } as const;
        let lastFailure: RequestFailure = createRefusal("NoTarget");
        let lostResponse: RequestFailure | undefined;
        if (gatewayNode === undefined) {
            return either.left(lastFailure);
        }
        const { containment } = gatewayNode;
        const evidence = ignoresGoodRuns === true ?
            { ...containment, recordRemoteGoodRun: () => undefined } :
            containment;
        const requestContainment = createRequestContainment(evidence)(request, body);
        const allowedTargets = requestContainment.chooseTargets(nodes.map(({ member }) => member));
        const triedNodeIds = new Set<string>();
        for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
            const refusal = requestContainment.findRefusal(attempts);
            const targetNode = pickOne(random, nodes.filter((node) =>
                allowedTargets.includes(node.member) && !triedNodeIds.has(node.member.nodeId) &&
                node.target !== undefined && !arePartitioned(gatewayNode, node)));
            if (refusal !== undefined || targetNode === undefined) {
                return either.left(lostResponse ?? refusal ?? lastFailure);
            }
            triedNodeIds.add(targetNode.member.nodeId);
            const outcome = await targetNode.serve({
                ...request, body, isSuspect: requestContainment.isSuspect(), headers: [], idempotent: isRetryable, priority: 0, customer: undefined, kind: "",
                knownFeedback: undefined, senderEndsAt: undefined,
                service: { partner: "p", service: "s" }, caller: { partner: "p", service: "s" },
                idempotencyKey: undefined, requestId: "r", deadline: clock.monotonic() + DEADLINE_MS,
                objective: undefined, signal: new AbortController().signal, onAdmitted: () => undefined,
            });
            if (either.isRight(outcome)) {
                requestContainment.observeResponse(outcome.right).body.deliver({
                    write: () => true, end: () => undefined, fail: () => undefined,
                });
                return outcome;
            }
            lastFailure = outcome.left;
            lostResponse ??= lastFailure.verdict === "notRun" ? undefined : lastFailure;
            requestContainment.recordFailure(targetNode.member, lastFailure);
            if (lastFailure.verdict !== "notRun" && !isRetryable) {
                return outcome;
            }
        }
        return either.left(lostResponse ?? lastFailure);
    };

    const sendHarmlessRequest = async (index: number): Promise<void> => {
        harmlessSent += 1;
        const outcome = await sendRequest(random() < 0.5 ? POPULAR_PATH : `/file/${index}`, true);
        harmlessServed += either.isRight(outcome) ? 1 : 0;
        const isRefusedAsCrashing = either.isLeft(outcome) && outcome.left.kind === "Refused" &&
            outcome.left.reason === "Contained";
        harmlessRefused += isRefusedAsCrashing ? 1 : 0;
    };

    const scheduleRepeatedly = (ratePerSecond: number, action: (index: number) => void, index = 0): void => {
        clock.after(drawNumber(random, 0.5, 1.5) * 1000 / ratePerSecond, () => {
            if (clock.monotonic() - startedAt < DURATION_MS) {
                action(index);
                scheduleRepeatedly(ratePerSecond, action, index + 1);
            }
        });
    };
    scheduleRepeatedly(harmlessPerSecond, (index) => void sendHarmlessRequest(index));
    if (hasSpontaneousCrashes === true) {
        scheduleRepeatedly(1, () => {
            const node = pickOne(random, nodes);
            if (node !== undefined) {
                crashTarget(node);
            }
        });
    }
    else {
        scheduleRepeatedly(crashesPerSecond, () => void sendRequest(CRASH_PATH, isIdempotent));
    }
    if (random() < 0.4) {
        const restarted = nodes.slice(0, 1 + pickIndex(random, nodes.length));
        clock.after(drawNumber(random, 0, 8000), () => restarted.forEach(startNode));
    }
    await clock.advance(DURATION_MS + EVIDENCE_SPREAD_MS);
    abortController.abort();
    return { crashes, lateCrashRuns, harmlessRefused, harmlessServed, harmlessSent };
};
