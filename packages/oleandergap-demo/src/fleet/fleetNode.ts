/** Controls the node of one VM across restarts of its process, and reads its state and metrics. */
import { request } from "undici";
import type { Milliseconds } from "oleandergap-types";
import { describeError } from "oleandergap-utils";
import type { FleetPlan, VmPlan } from "../plan/fleetPlan.js";
import { createEarlyExitError, type Child, type ChildExit } from "../process/childProcess.js";
import type { ProcessGroup } from "../process/processGroup.js";
import { waitForValue } from "./waitFor.js";

/** The node of a VM. It keeps its id, address and settings when its process is restarted. */
export interface FleetNode {
    readonly vm: VmPlan;
    /** Returns the process id, or undefined while no process is running. */
    readonly pid: () => number | undefined;
    readonly isRunning: () => boolean;
    /** Starts the process without waiting until it is ready. Does nothing if it is already running. */
    readonly start: () => Promise<void>;
    /** Resolves when the node responds to requests. Rejects if its process exits or the timeout expires. */
    readonly waitUntilListening: (signal: AbortSignal, timeoutMs?: Milliseconds) => Promise<void>;
    /** Resolves when the node reports that it is ready. Rejects if its process exits or the timeout expires. */
    readonly waitUntilReady: (signal: AbortSignal, timeoutMs?: Milliseconds) => Promise<void>;
    /** Stops the process gracefully with SIGTERM, and with SIGKILL if this takes longer than `timeoutMs`. */
    readonly stop: (timeoutMs?: Milliseconds) => Promise<ChildExit | undefined>;
    /** Kills the process with SIGKILL. */
    readonly kill: () => Promise<void>;
    readonly freeze: () => void;
    readonly resume: () => void;
    /** Returns the metrics in the Prometheus text format. Rejects if the node does not respond. */
    readonly readMetrics: () => Promise<string>;
    /** Returns the reason that the node reports for not being ready, or undefined if it is ready. */
    readonly readNotReadyReason: () => Promise<string | undefined>;
}

/** Options to create a node. */
export interface FleetNodeOptions {
    readonly plan: FleetPlan;
    readonly vm: VmPlan;
    readonly settingsFile: string;
    readonly logFile: string;
    readonly processes: ProcessGroup;
    /** Executable of the daemon. */
    readonly daemon: string;
}

const READY_TIMEOUT: Milliseconds = 60_000;
/** Longer than the limit of a node for its requests in flight, so that the launcher never cuts off a request. */
const PLANNED_STOP_TIMEOUT: Milliseconds = 75_000;
const ADMIN_TIMEOUT: Milliseconds = 5000;
const OK = 200;
const LIVENESS_PATH = "/healthz";
const READINESS_PATH = "/readyz";

/** Creates the handle of a node without starting its process. */
export const createFleetNode = (
    { plan, vm, settingsFile, logFile, processes, daemon }: FleetNodeOptions,
): FleetNode => {
    const admin = `http://${vm.address}:${plan.ports.admin}`;
    let child: Child | undefined;

    const isRunning = (): boolean => child?.isRunning() === true;

    const start = async (): Promise<void> => {
        if (isRunning()) {
            return;
        }
        child = await processes.start({
            name: `node ${vm.id}`,
            script: daemon,
            isExecutable: true,
            arguments: ["--settings", settingsFile],
            logFile,
        });
    };

    /** Returns the reason why the response of `path` does not have status 200, or undefined if it has. */
    const fetchProblem = async (path: string): Promise<string | undefined> => {
        try {
            const response = await request(`${admin}${path}`, { signal: AbortSignal.timeout(ADMIN_TIMEOUT) });
            const text = await response.body.text();
            return response.statusCode === OK ? undefined : text;
        }
        catch (error) {
            return describeError(error);
        }
    };

    const throwIfExited = async (): Promise<void> => {
        if (child !== undefined && !child.isRunning()) {
            throw await createEarlyExitError(child.name, await child.exited, child.logFile);
        }
    };

    const createWaitFunction = (path: string, description: string): FleetNode["waitUntilReady"] =>
        async (signal, timeoutMs = READY_TIMEOUT) => {
            let lastProblem: string | undefined = "";
            const probe = async (): Promise<true | undefined> => {
                await throwIfExited();
                lastProblem = await fetchProblem(path);
                return lastProblem === undefined ? true : undefined;
            };
            await waitForValue(
                { description: `node ${vm.id} ${description}`, timeoutMs, signal },
                probe,
                () => lastProblem ?? "",
            );
        };

    return {
        vm,
        pid: () => isRunning() ? child?.pid : undefined,
        isRunning,
        start,
        waitUntilListening: createWaitFunction(LIVENESS_PATH, "responds"),
        waitUntilReady: createWaitFunction(READINESS_PATH, "is ready"),
        stop: async (timeoutMs = PLANNED_STOP_TIMEOUT) => child?.stop(timeoutMs),
        kill: async () => {
            await child?.kill();
        },
        freeze: () => child?.freeze(),
        resume: () => child?.resume(),
        readMetrics: async () => {
            const response = await request(`${admin}/metrics`, { signal: AbortSignal.timeout(ADMIN_TIMEOUT) });
            return response.body.text();
        },
        readNotReadyReason: () => fetchProblem(READINESS_PATH),
    };
};
