/** Simulation for property tests: random sends, freezes, kills, membership views and platform modes. */
import { setMaxListeners } from "node:events";
import * as fc from "fast-check";
import { createManualClock, createSeededRandom, type ManualClock, type Random } from "oleandergap-utils";
import { platformModes, type PlatformMode } from "../../measure/platformMode.js";
import { createMemoryTable, type MemoryTable } from "../../measure/memoryTable.js";
import { generateKey } from "../../measure/generateKey.js";
import type { SimulatedNode } from "../../measure/simulatedNode.js";
import { createSimulatedTarget, type SimulatedTarget, type CallerResult } from "../../measure/simulatedTarget.js";

export const NODES = 3;
/** Number of keys that the commands choose from at a time. */
const SLOTS = 3;
/** Timeout of a request, in milliseconds. */
const TIMEOUT = 500;
/** Width of the range of the errors of key timestamps, in milliseconds. */
const KEY_TIME_ERROR = 8000;
/** Time without faults before the checks, in milliseconds. */
const RECOVERY_TIME = 60_000;
/** Time for the nodes to take their partitions before the first key, in milliseconds. */
const WARM_UP_TIME = 20_000;

const node = fc.nat(NODES - 1);
const slot = fc.nat(SLOTS - 1);
const duration = fc.constantFrom(1, 5, 20, 100, 600, 2000, 2000, 6000);
const view = fc.array(node, { maxLength: NODES });

export const commandArbitrary = fc.oneof(
    { weight: 8, arbitrary: fc.record({ kind: fc.constant("Send" as const), node, slot }) },
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("Advance" as const), duration }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("GenerateKey" as const), slot }) },
    { weight: 2, arbitrary: fc.record({
        kind: fc.constant("SetPlatformMode" as const),
        mode: fc.constantFrom(...platformModes, "healthy" as const),
    }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("Freeze" as const, "Resume" as const), node }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("Kill" as const), node }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("SetView" as const), node, view }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("Isolate" as const, "Rejoin" as const), node }) },
);
export const runArbitrary = fc.tuple(fc.nat(), fc.array(commandArbitrary, { minLength: 5, maxLength: 80, size: "max" }));
type Run = typeof runArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type Command = Run[1][number];

export interface Simulation {
    readonly clock: ManualClock;
    readonly random: Random;
    readonly table: MemoryTable;
    readonly target: SimulatedTarget;
    readonly results: CallerResult[];
    /**
     * Keys that a process had received when it was killed, or whose response was lost. Their outcome may stay unknown.
     */
    readonly uncertainKeys: Set<string>;
    /** Keys that the current process of each node has received. */
    readonly receivedKeys: Set<string>[];
    readonly nodes: SimulatedNode[];
    /** Indexes of the nodes that each node has as members. */
    readonly views: Set<number>[];
    /** Keys that the next commands use. */
    readonly slots: string[];
    /** All keys so far. */
    readonly keys: string[];
    readonly signal: AbortSignal;
    platformMode: PlatformMode;
    startCount: number;
}

export type StartNode = (simulation: Simulation, index: number) => SimulatedNode;

export const generateTestKey = (simulation: Simulation): string => {
    const key = generateKey(simulation.clock.now() + (simulation.random() - 0.5) * KEY_TIME_ERROR, simulation.random);
    simulation.keys.push(key);
    return key;
};

const createFullViews = (): Set<number>[] =>
    Array.from({ length: NODES }, () => new Set(Array.from({ length: NODES }, (_, index) => index)));

const createSimulation = (seed: number, signal: AbortSignal, start: StartNode): Simulation => {
    const clock = createManualClock();
    const random = createSeededRandom(seed);
    const simulation: Simulation = {
        clock,
        random,
        table: createMemoryTable(clock),
        target: createSimulatedTarget(random, { answerLost: 0.15, connectFailed: 0.2 }),
        platformMode: "healthy",
        results: [],
        uncertainKeys: new Set(),
        receivedKeys: Array.from({ length: NODES }, () => new Set()),
        nodes: [],
        views: createFullViews(),
        slots: [],
        keys: [],
        startCount: 0,
        signal,
    };
    simulation.nodes.push(...simulation.receivedKeys.map((_, index) => start(simulation, index)));
    return simulation;
};

/** Fills the slots with keys; the key of the last slot has no timestamp. */
const fillSlots = (simulation: Simulation): void => {
    simulation.slots.push(generateTestKey(simulation), generateTestKey(simulation), "key-without-time");
    simulation.keys.push("key-without-time");
};

export const send = async (simulation: Simulation, index: number, key: string): Promise<void> => {
    simulation.receivedKeys[index]?.add(key);
    const result = await simulation.nodes[index]?.handle(key, TIMEOUT);
    if (result !== undefined) {
        simulation.results.push(result);
        if (result.verdict === "mayHaveRun" && result.sent) {
            simulation.uncertainKeys.add(key);
        }
    }
};

const kill = (simulation: Simulation, index: number, start: StartNode): void => {
    simulation.nodes[index]?.clock.freeze();
    simulation.receivedKeys[index]?.forEach((key) => simulation.uncertainKeys.add(key));
    simulation.receivedKeys[index]?.clear();
    simulation.nodes[index] = start(simulation, index);
};

const runCommand = async (simulation: Simulation, command: Command, start: StartNode): Promise<void> => {
    switch (command.kind) {
        case "Send":
            void send(simulation, command.node, simulation.slots[command.slot] ?? "");
            return;
        case "Advance":
            return simulation.clock.advance(command.duration);
        case "GenerateKey":
            simulation.slots[command.slot] = generateTestKey(simulation);
            return;
        case "SetPlatformMode":
            simulation.platformMode = command.mode;
            return;
        case "Freeze":
            simulation.nodes[command.node]?.clock.freeze();
            return;
        case "Resume":
            simulation.nodes[command.node]?.clock.resume();
            return;
        case "Kill":
            kill(simulation, command.node, start);
            return;
        case "Isolate":
            simulation.nodes[command.node]?.clock.freeze();
            simulation.views.forEach((view) => view.delete(command.node));
            return;
        case "Rejoin":
            simulation.nodes[command.node]?.clock.resume();
            simulation.views.forEach((view) => view.add(command.node));
            return;
        case "SetView":
            simulation.views[command.node] = new Set([...command.view, command.node]);
    }
};

/** Runs the commands, ends all faults, waits, and then runs the check. */
export const simulate = async (
    [seed, commands]: Run,
    start: StartNode,
    check: (simulation: Simulation) => Promise<void>,
): Promise<void> => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const simulation = createSimulation(seed, controller.signal, start);
    await simulation.clock.advance(WARM_UP_TIME);
    fillSlots(simulation);
    for (const command of commands) {
        await runCommand(simulation, command, start);
    }
    simulation.platformMode = "healthy";
    simulation.views.splice(0, NODES, ...createFullViews());
    simulation.nodes.forEach(({ clock }) => clock.resume());
    await simulation.clock.advance(RECOVERY_TIME);
    await check(simulation);
    controller.abort();
};
