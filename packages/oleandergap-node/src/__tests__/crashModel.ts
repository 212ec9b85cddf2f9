/**
 * A fleet in virtual time whose targets crash under some requests: the real decisions of gateways and gates on either
 * side, a network in memory, and targets that take time, have slots and come back.
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
import { createContainmentGuard, createContainmentCheck } from "../gate/carefulServe.js";
import { createCrashDetector, type CrashDetector } from "../gate/crashWatch.js";
import type { GateRequest, ServeAtGate } from "../gate/gateRequest.js";
import { createRequestCare } from "../gateway/requestCare.js";
import { createWholeBody } from "../http/answer.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import type { LocalTarget } from "../target/targetKeeper.js";

/** What a schedule draws. */
export interface CrashSchedule {
    readonly seed: number;
    /** Nodes keep what they see to themselves. */
    readonly isMute?: boolean;
    /** Good runs are not taken for anything. */
    readonly blamesAll?: boolean;
    /** Targets that end of themselves a second, and no request that ends them. */
    readonly selfCrashes?: boolean;
}

/** What a schedule came to. */
export interface CrashOutcome {
    readonly crashes: number;
    /** Runs of the crashing request that began later than `CONTACT_MS` after its third crash, at nodes in touch. */
    readonly runsLater: number;
    /** Harmless requests that were refused as if they crashed targets. */
    readonly blamed: number;
    readonly harmlessServed: number;
    readonly harmlessSent: number;
}

interface ModelNode {
    readonly member: TargetMember;
    containment: Containment<ModelNode>;
    serve: ServeAtGate;
    life: AbortController;
    startedAt: Milliseconds;
    /** As announced; its process may have ended already. */
    target: LocalTarget | undefined;
    isUp: boolean;
    running: number;
    readonly endRuns: Set<() => void>;
}

export const CONTACT_MS: Milliseconds = 3000;
const CUT_MS: Milliseconds = 3000;
const DURATION_MS: Milliseconds = 12_000;
const DOWN_MS: Milliseconds = 3000;
const DEADLINE_MS: Milliseconds = 1500;
const CRASH_PATH = "/crash";
const POPULAR_PATH = "/popular";
const MOST_ATTEMPTS = 3;
const ZONES = 3;

const refusal = (reason: "NoTarget" | "QueueFull"): RequestFailure =>
    ({ kind: "Refused", verdict: "notRun", reason, retryAfterMs: 100 });
const LOST: RequestFailure = { kind: "AnswerLost", verdict: "mayHaveRun", detail: "the target ended" };

const drawBetween = (random: Random, least: number, most: number): number => least + random() * (most - least);

/** Plays one schedule to its end. */
export const playCrashes = async ({ seed, isMute, blamesAll, selfCrashes }: CrashSchedule): Promise<CrashOutcome> => {
    const random = createSeededRandom(seed);
    const clock: ManualClock = createManualClock();
    const slots = 4 + pickIndex(random, 15);
    const crashesPerSecond = drawBetween(random, 0.5, 6);
    const harmlessPerSecond = drawBetween(random, 10, 40);
    const loss = random() < 0.5 ? 0 : random() * 0.2;
    const isIdempotent = random() < 0.7;
    const cut = random() < 0.3 ? { zone: pickIndex(random, ZONES), from: drawBetween(random, 0, 6000) } : undefined;
    const tableService = createMemoryTableService();
    const life = new AbortController();
    const startedAt = clock.monotonic();
    let crashes = 0;
    let thirdAt = Number.POSITIVE_INFINITY;
    let runsLater = 0;
    let blamed = 0;
    let harmlessServed = 0;
    let harmlessSent = 0;

    const zoneOf = (node: ModelNode): string => node.member.zone;
    const isCut = (one: ModelNode, other: ModelNode): boolean => {
        const time = clock.monotonic() - startedAt;
        const isDue = cut !== undefined && time >= cut.from && time < cut.from + CUT_MS;
        return isDue && (zoneOf(one) === `zone-${cut.zone}`) !== (zoneOf(other) === `zone-${cut.zone}`);
    };
    /** Whether a node has run, and no cut has been, for long enough to know what the others do. */
    const isInTouch = (node: ModelNode): boolean => {
        const time = clock.monotonic() - startedAt;
        const wasCut = cut !== undefined && time >= cut.from && time < cut.from + CUT_MS + CONTACT_MS;
        return clock.monotonic() - node.startedAt >= CONTACT_MS && !wasCut;
    };

    const send = (from: ModelNode, to: ModelNode, message: EvidenceMessage): void => {
        if (isMute !== true && !isCut(from, to) && random() >= loss) {
            clock.after(drawBetween(random, 0.5, 20), () => to.containment.receive(from, message));
        }
    };

    const endTarget = (node: ModelNode): void => {
        if (node.isUp) {
            node.isUp = false;
            [...node.endRuns].forEach((end) => end());
            clock.after(DOWN_MS, () => startTarget(node));
        }
    };

    const startTarget = (node: ModelNode): void => {
        // Only the identity of the gate and the way it left are looked at by the watch.
        node.target = {
            gate: {}, leaving: false, predecessorGate: undefined, announcement: {},
        } as unknown as LocalTarget;
        node.isUp = true;
        node.running = 0;
    };

    const noteRun = (node: ModelNode, path: string): void => {
        if (path === CRASH_PATH && clock.monotonic() > thirdAt + CONTACT_MS && isInTouch(node)) {
            runsLater += 1;
        }
    };

    /** Works on a request; false when the target ended meanwhile. */
    const work = (node: ModelNode, { path, signal }: GateRequest): Promise<boolean> => new Promise((resolve) => {
        const settle = (isWhole: boolean): void => {
            node.endRuns.delete(end);
            cancel();
            resolve(isWhole);
        };
        const end = (): void => settle(false);
        node.endRuns.add(end);
        const cancel = clock.after(drawBetween(random, 50, 150), () => {
            if (path === CRASH_PATH && !signal.aborted) {
                crashes += 1;
                thirdAt = crashes === 3 ? clock.monotonic() : thirdAt;
                endTarget(node);
                return;
            }
            settle(true);
        });
    });

    const createServe = (node: ModelNode, watch: CrashDetector): ServeAtGate => async (request) => {
        const { target } = node;
        if (target === undefined || !node.isUp) {
            return either.left(refusal("NoTarget"));
        }
        const obstacle = createContainmentCheck(node.containment)(request);
        if (obstacle !== undefined || node.running >= slots) {
            return either.left(obstacle ?? refusal("QueueFull"));
        }
        node.running += 1;
        noteRun(node, request.path);
        const run = watch.startRun(target, request);
        if (!await work(node, request)) {
            return either.left({ ...LOST, crash: await run.end("Lost") });
        }
        node.running -= 1;
        await run.end("Completed");
        if (blamesAll !== true) {
            node.containment.noteGoodRun(fingerprintRequest(request, request.body));
        }
        return either.right({ statusCode: 200, headers: {}, body: createWholeBody(Buffer.from("read")) });
    };

    const startNode = (node: ModelNode): void => {
        node.life.abort();
        node.life = new AbortController();
        node.startedAt = clock.monotonic();
        node.containment = createContainment<ModelNode>({
            nodeId: node.member.nodeId,
            bootId: String(node.startedAt),
            clock,
            random,
            logger: createLogger("test"),
            options: defaultContainmentOptions,
            network: {
                members: () => nodes.filter((other) => other !== node && zoneOf(other) === zoneOf(node)),
                contacts: () => nodes.filter((other) => zoneOf(other) !== zoneOf(node)).slice(0, 6),
                isNear: (other) => zoneOf(other) === zoneOf(node),
                isFirst: () => nodes.find((other) => zoneOf(other) === zoneOf(node)) === node,
                send: (to, message) => send(node, to, message),
            },
            tableService,
            signal: AbortSignal.any([life.signal, node.life.signal]),
        });
        const watch = createCrashDetector({
            clock,
            isListenerGone: () => Promise.resolve(!node.isUp),
            currentTarget: () => node.target,
            noteCrash: node.containment.noteOwnCrash,
            loseTarget: () => {
                node.target = undefined;
            },
        });
        node.serve = createContainmentGuard(clock, node.containment, createServe(node, watch));
        node.containment.start();
    };

    const nodes = Array.from({ length: 4 + pickIndex(random, 7) }, (_, index): ModelNode => ({
        member: {
            nodeId: `node-${index}`, zone: `zone-${index % ZONES}`, address: "127.0.0.1", gatePort: 1, slots,
            leaving: false, since: 0,
        },
        containment: undefined as unknown as Containment<ModelNode>,
        serve: () => Promise.resolve(either.left(refusal("NoTarget"))),
        life: new AbortController(),
        startedAt: 0,
        target: undefined,
        isUp: false,
        running: 0,
        endRuns: new Set(),
    }));
    nodes.forEach((node) => {
        startTarget(node);
        startNode(node);
        node.startedAt = startedAt - CONTACT_MS;
    });

    const ask = async (path: string, mayRepeat: boolean): Promise<either.Either<RequestFailure, unknown>> => {
        const entry = pickOne(random, nodes);
        const request = { method: "GET", host: "a.example", path };
        const body = { kind: "Empty" } as const;
        let last: RequestFailure = refusal("NoTarget");
        let lost: RequestFailure | undefined;
        if (entry === undefined) {
            return either.left(last);
        }
        const { containment } = entry;
        const known = blamesAll === true ? { ...containment, hearGoodRun: () => undefined } : containment;
        const care = createRequestCare(known)(request, body);
        const allowed = care.chooseTargets(nodes.map(({ member }) => member));
        const tried = new Set<string>();
        for (let attempts = 0; attempts < MOST_ATTEMPTS; attempts++) {
            const obstacle = care.findObstacle(attempts);
            const chosen = pickOne(random, nodes.filter((node) =>
                allowed.includes(node.member) && !tried.has(node.member.nodeId) && node.target !== undefined &&
                !isCut(entry, node)));
            if (obstacle !== undefined || chosen === undefined) {
                return either.left(lost ?? obstacle ?? last);
            }
            tried.add(chosen.member.nodeId);
            const outcome = await chosen.serve({
                ...request, body, isSuspect: care.isSuspect(), headers: [], idempotent: mayRepeat, priority: 0, kind: "",
                service: { partner: "p", service: "s" }, caller: { partner: "p", service: "s" },
                idempotencyKey: undefined, requestId: "r", deadline: clock.monotonic() + DEADLINE_MS,
                objective: undefined, signal: new AbortController().signal, onAdmitted: () => undefined,
            });
            if (either.isRight(outcome)) {
                care.watchAnswer(outcome.right).body.deliver({
                    write: () => true, end: () => undefined, fail: () => undefined,
                });
                return outcome;
            }
            last = outcome.left;
            lost ??= last.verdict === "notRun" ? undefined : last;
            care.noteFailure(chosen.member, last);
            if (last.verdict !== "notRun" && !mayRepeat) {
                return outcome;
            }
        }
        return either.left(lost ?? last);
    };

    const askHarmless = async (index: number): Promise<void> => {
        harmlessSent += 1;
        const outcome = await ask(random() < 0.5 ? POPULAR_PATH : `/file/${index}`, true);
        harmlessServed += either.isRight(outcome) ? 1 : 0;
        const isBlamed = either.isLeft(outcome) && outcome.left.kind === "Refused" && outcome.left.reason === "Contained";
        blamed += isBlamed ? 1 : 0;
    };

    const repeat = (perSecond: number, act: (index: number) => void, index = 0): void => {
        clock.after(drawBetween(random, 0.5, 1.5) * 1000 / perSecond, () => {
            if (clock.monotonic() - startedAt < DURATION_MS) {
                act(index);
                repeat(perSecond, act, index + 1);
            }
        });
    };
    repeat(harmlessPerSecond, (index) => void askHarmless(index));
    if (selfCrashes === true) {
        repeat(1, () => {
            const node = pickOne(random, nodes);
            if (node !== undefined) {
                endTarget(node);
            }
        });
    }
    else {
        repeat(crashesPerSecond, () => void ask(CRASH_PATH, isIdempotent));
    }
    if (random() < 0.4) {
        const restarted = nodes.slice(0, 1 + pickIndex(random, nodes.length));
        clock.after(drawBetween(random, 0, 8000), () => restarted.forEach(startNode));
    }
    await clock.advance(DURATION_MS + CONTACT_MS);
    life.abort();
    return { crashes, runsLater, blamed, harmlessServed, harmlessSent };
};
