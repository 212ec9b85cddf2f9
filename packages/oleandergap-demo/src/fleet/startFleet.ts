/**
 * Starts a fleet of real processes: the platform stand-in, one daemon per VM, and the target stand-ins in one process.
 */
import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import { createOperatorClient, type OperatorClient } from "oleandergap-operator";
import type { Milliseconds, NodeId, PartnerName } from "oleandergap-types";
import { createSystemClock } from "oleandergap-utils";
import { z } from "zod";
import { listZones, type FleetPlan } from "../plan/fleetPlan.js";
import type { Child } from "../process/childProcess.js";
import { mapWithLimit } from "../process/mapWithLimit.js";
import { createProcessGroup, type ProcessGroup } from "../process/processGroup.js";
import { readProcessUsage } from "../process/processUsage.js";
import { installSignalHandlers } from "../process/signalHandlers.js";
import type { OperatorAccess } from "./credentials.js";
import type { Fleet } from "./fleet.js";
import { createFleetFiles, type FleetFiles } from "./fleetFiles.js";
import { createFleetNode, type FleetNode } from "./fleetNode.js";
import { createNodeSettings } from "./nodeSettings.js";
import { checkPorts } from "./portCheck.js";
import { checkPrograms, programs } from "./programs.js";
import { seedPlatform } from "./seedPlatform.js";
import { createPlatformControl, createTargetsControl, type TargetsControl } from "./standInControl.js";
import { createTargetsPlan } from "./targetSettings.js";

/** Options of a fleet. All of them are optional. */
export interface FleetOptions {
    /** Stops the fleet when it aborts, even during the start. */
    readonly signal?: AbortSignal;
    /** Whether to keep settings and logs after the stop. */
    readonly keepFiles?: boolean;
    /** Receives a short sentence for each step. */
    readonly report?: (step: string) => void;
    /** Executable of the daemon; by default the one that is built in this workspace. */
    readonly daemon?: string | undefined;
}

/** Starting processes are CPU-bound, so more concurrent starts would only slow down each of them. */
const MAX_CONCURRENT_STARTS = 8;
/** Shorter than the stop timeout of one node, because no caller waits for responses when the whole fleet stops. */
const STOP_TIMEOUT: Milliseconds = 15_000;
const OPERATOR_TIMEOUT: Milliseconds = 10_000;
const FLEET_KEY_BYTES = 32;

const targetsReadyLineSchema = z.object({ controlPort: z.number() });

/** Resources of a starting fleet, which are released if the start fails. */
interface LaunchContext {
    readonly plan: FleetPlan;
    readonly files: FleetFiles;
    readonly processes: ProcessGroup;
    readonly lifetime: AbortController;
    readonly report: (step: string) => void;
    readonly daemon: string;
}

const startPlatform = ({ plan, files, processes }: LaunchContext): Promise<Child> => {
    const { address, entrances, writesPerSecond, readsPerSecond } = plan.platform;
    const port = String(plan.ports.platform);
    return processes.start({
        name: "platform stand-in",
        script: programs.platform,
        arguments: [
            "--address", address,
            "--port", port,
            "--writes", String(writesPerSecond),
            "--reads", String(readsPerSecond),
            ...listZones(plan).flatMap((zone) => ["--entrance", `${zone}=${entrances[zone] ?? address}:${port}`]),
        ],
        logFile: files.logFile("platform"),
        awaitReadyLine: true,
    });
};

const startNodes = async (context: LaunchContext): Promise<readonly FleetNode[]> => {
    const { plan, files, processes } = context;
    const keyFile = await files.writeSecret("fleet.key", randomBytes(FLEET_KEY_BYTES).toString("base64url"));
    const nodes = await Promise.all(plan.vms.map(async (vm) => createFleetNode({
        plan,
        vm,
        settingsFile: await files.writeYaml(vm.id, createNodeSettings(plan, vm, keyFile)),
        logFile: files.logFile(vm.id),
        processes,
        daemon: context.daemon,
    })));
    await mapWithLimit(nodes, MAX_CONCURRENT_STARTS, async (node) => {
        await node.start();
        await node.waitUntilListening(context.lifetime.signal);
    });
    await Promise.all(nodes.map((node) => node.waitUntilReady(context.lifetime.signal)));
    return nodes;
};

interface RunningTargets {
    readonly child: Child;
    readonly control: TargetsControl;
}

const startTargets = async ({ plan, files, processes }: LaunchContext): Promise<RunningTargets> => {
    const planFile = await files.writeJson("targets", createTargetsPlan(plan));
    const child = await processes.start({
        name: "target stand-ins",
        script: programs.targets,
        arguments: ["--plan", planFile],
        logFile: files.logFile("targets"),
        awaitReadyLine: true,
    });
    const { controlPort } = targetsReadyLineSchema.parse(JSON.parse(child.readyLine ?? ""));
    return { child, control: createTargetsControl(`http://${plan.platform.address}:${controlPort}`) };
};

/** Started components of the fleet, which must be stopped at the end. */
interface StartedFleet {
    readonly platform: Child;
    readonly nodes: readonly FleetNode[];
    readonly targets: RunningTargets;
    readonly access: readonly OperatorAccess[];
}

const startAll = async (context: LaunchContext): Promise<StartedFleet> => {
    const { plan, report } = context;
    await checkPrograms([context.daemon, programs.nodeModule, programs.platform, programs.targets]);
    await checkPorts(plan);
    report("Starting the platform stand-in.");
    const platform = await startPlatform(context);
    report("Writing the first table of each partner.");
    const access = await seedPlatform(plan, context.files, context.lifetime.signal);
    report(`Starting ${plan.vms.length} nodes.`);
    const nodes = await startNodes(context);
    report("Starting the target stand-ins.");
    const targets = await startTargets(context);
    return { platform, nodes, targets, access };
};

const stopStartedFleet = async ({ targets, nodes, platform }: StartedFleet): Promise<void> => {
    await Promise.all([targets.child.stop(STOP_TIMEOUT), ...nodes.map((node) => node.stop(STOP_TIMEOUT))]);
    await platform.stop(STOP_TIMEOUT);
};

const createFleet = (context: LaunchContext, started: StartedFleet, stop: () => Promise<void>): Fleet => {
    const { plan, processes, lifetime } = context;
    const { nodes } = started;

    const node = (id: NodeId): FleetNode => {
        const found = nodes.find((candidate) => candidate.vm.id === id);
        if (found === undefined) {
            throw new RangeError(`no node ${id} in this fleet`);
        }
        return found;
    };

    const access = (partner: PartnerName): OperatorAccess => {
        const found = started.access.find((candidate) => candidate.partner === partner);
        if (found === undefined) {
            throw new RangeError(`no partner ${partner} in this fleet`);
        }
        return found;
    };

    const operatorClient = (partner: PartnerName, nodeId?: NodeId): OperatorClient => {
        const queriedNodes = nodeId === undefined ? nodes.filter((candidate) => candidate.isRunning()) : [node(nodeId)];
        return createOperatorClient({
            nodes: queriedNodes.map(({ vm }) => ({ address: vm.address, port: plan.ports.control })),
            credential: access(partner).credential,
            timeoutMs: OPERATOR_TIMEOUT,
            clock: createSystemClock(),
            signal: lifetime.signal,
        });
    };

    return {
        plan,
        folder: context.files.folder,
        nodes,
        node,
        gateways: () => nodes
            .filter((candidate) => candidate.isRunning())
            .map(({ vm }) => ({ address: vm.address, port: plan.ports.gateway })),
        platform: createPlatformControl(`http://${plan.platform.address}:${plan.ports.platform}`),
        targets: started.targets.control,
        access,
        operatorClient,
        waitUntilReady: async (timeoutMs) => {
            const running = nodes.filter((candidate) => candidate.isRunning());
            await Promise.all(running.map((candidate) => candidate.waitUntilReady(lifetime.signal, timeoutMs)));
        },
        usage: async () => {
            const readings = processes.running().map(({ name, pid }) => readProcessUsage(name, pid));
            return (await Promise.all(readings)).flatMap((usage) => usage === undefined ? [] : [usage]);
        },
        signal: lifetime.signal,
        stop,
    };
};

/** Returns a function that runs `action` at most once. Later calls share the result of the first one. */
const runOnce = (action: () => Promise<void>): (() => Promise<void>) => {
    let result: Promise<void> | undefined;
    return () => result ??= action();
};

/** Starts all processes of `plan`. If any of them fails to start, stops all of them and rejects with the reason. */
export const startFleet = async (plan: FleetPlan, options: FleetOptions = {}): Promise<Fleet> => {
    const report = options.report ?? (() => undefined);
    const context: LaunchContext = {
        plan,
        files: await createFleetFiles(),
        processes: createProcessGroup(report),
        lifetime: new AbortController(),
        report,
        daemon: options.daemon ?? programs.node,
    };
    // All clients and waits of the fleet listen to this signal, so many listeners do not indicate a leak.
    setMaxListeners(0, context.lifetime.signal);
    let started: StartedFleet | undefined;

    const stop = runOnce(async () => {
        context.lifetime.abort(
            options.signal?.aborted === true ? options.signal.reason : new Error("the fleet was stopped"),
        );
        if (started !== undefined) {
            await stopStartedFleet(started);
        }
        await context.processes.close();
        if (options.keepFiles !== true) {
            await context.files.remove();
        }
        removeSignalHandlers();
    });
    const removeSignalHandlers = installSignalHandlers(stop);
    const onAbort = (): void => {
        stop().catch((error: unknown) => report(`The fleet did not stop cleanly: ${String(error)}`));
    };
    options.signal?.addEventListener("abort", onAbort, { once: true });

    try {
        options.signal?.throwIfAborted();
        started = await startAll(context);
        context.lifetime.signal.throwIfAborted();
        return createFleet(context, started, stop);
    }
    catch (error) {
        await stop();
        throw error;
    }
};
