/**
 * Starts a child process, which can be stopped, killed, frozen and resumed. Signals are sent to its process id only.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync } from "node:fs";
import { createInterface } from "node:readline";
import type { Milliseconds } from "oleandergap-types";
import { readLastLines } from "./logTail.js";

/** Program and log file of a child process. */
export interface ChildOptions {
    /** Name of the process in messages. */
    readonly name: string;
    /** JavaScript file to run. */
    readonly script: string;
    /**
     * Whether to execute the file by its shebang line, with the flags that this line contains, instead of with the
     * Node.js of this process.
     */
    readonly isExecutable?: boolean;
    readonly arguments: readonly string[];
    /** File that receives the standard error of the process. */
    readonly logFile: string;
    /** Whether the process counts as started only after its first line on standard output. */
    readonly awaitReadyLine?: boolean;
}

/** Exit code of a process, or the signal that ended it. */
export interface ChildExit {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

/** A started process. Signals are sent only while it is running. */
export interface Child {
    readonly name: string;
    readonly pid: number;
    readonly logFile: string;
    readonly isRunning: () => boolean;
    /** Returns whether a stop or kill of the process was requested. */
    readonly isStopRequested: () => boolean;
    /** Resolves when the process has exited. */
    readonly exited: Promise<ChildExit>;
    /** First line on standard output, or undefined if `awaitReadyLine` was not set. */
    readonly readyLine: string | undefined;
    /** Sends SIGTERM, and SIGKILL if the process takes longer than `timeoutMs` to exit. */
    readonly stop: (timeoutMs: Milliseconds) => Promise<ChildExit>;
    readonly kill: () => Promise<ChildExit>;
    readonly freeze: () => void;
    readonly resume: () => void;
    /** Sends SIGKILL without waiting. Used while the parent process exits. */
    readonly killNow: () => void;
}

/** Maximum time to wait for the ready line of a process. */
const READY_TIMEOUT: Milliseconds = 30_000;

const describeExit = ({ code, signal }: ChildExit): string =>
    signal === undefined ? `with code ${code ?? "unknown"}` : `by ${signal}`;

/** Returns an error that names the process and contains the end of its log. */
export const createEarlyExitError = async (name: string, exit: ChildExit, logFile: string): Promise<Error> =>
    new Error(`${name} ended ${describeExit(exit)}; end of its log:\n${await readLastLines(logFile)}`);

const readFirstLine = async (
    child: ChildProcess,
    exited: Promise<ChildExit>,
    options: ChildOptions,
): Promise<string> => {
    if (child.stdout === null) {
        throw new Error(`${options.name} has no standard output`);
    }
    const lines = createInterface({ input: child.stdout });
    const firstLine = once(lines, "line", { signal: AbortSignal.timeout(READY_TIMEOUT) });
    const outcome = await Promise.race([firstLine, exited]);
    if (!Array.isArray(outcome)) {
        firstLine.catch(() => undefined);
        throw await createEarlyExitError(options.name, outcome, options.logFile);
    }
    return String(outcome[0]);
};

const watchExit = (child: ChildProcess): Promise<ChildExit> =>
    new Promise((resolve) => {
        child.once("exit", (code, signal) => resolve({ code: code ?? undefined, signal: signal ?? undefined }));
    });

const spawnDetached = (options: ChildOptions): ChildProcess => {
    const log = openSync(options.logFile, "a");
    try {
        // The child gets a separate process group, so that Ctrl-C in the terminal reaches only the launcher, which then
        // stops the processes in order. Otherwise all processes would end at the same time, which would look like a
        // failure of the whole fleet.
        const [command, ...scriptArguments] = options.isExecutable === true ?
            [options.script] :
            [process.execPath, options.script];
        return spawn(command, [...scriptArguments, ...options.arguments], {
            detached: true,
            stdio: ["ignore", options.awaitReadyLine === true ? "pipe" : log, log],
        });
    }
    finally {
        closeSync(log);
    }
};

/** Starts a process. Rejects if it cannot be started or exits before its ready line. */
export const startChild = async (options: ChildOptions): Promise<Child> => {
    const child = spawnDetached(options);
    const exited = watchExit(child);
    await once(child, "spawn");
    const { pid } = child;
    if (pid === undefined) {
        throw new Error(`${options.name} has no process id`);
    }
    const isRunning = (): boolean => child.exitCode === null && child.signalCode === null;

    let hasStopRequest = false;

    /** Sends a signal only while the process is running, because the id of an exited process may have been reused. */
    const sendSignal = (signal: NodeJS.Signals): void => {
        if (isRunning()) {
            child.kill(signal);
        }
    };

    const killNow = (): void => {
        hasStopRequest = true;
        sendSignal("SIGKILL");
    };

    const kill = (): Promise<ChildExit> => {
        killNow();
        return exited;
    };

    const stop = async (timeoutMs: Milliseconds): Promise<ChildExit> => {
        hasStopRequest = true;
        // A frozen process would not handle SIGTERM.
        sendSignal("SIGCONT");
        sendSignal("SIGTERM");
        const timer = setTimeout(() => sendSignal("SIGKILL"), timeoutMs);
        const exit = await exited;
        clearTimeout(timer);
        return exit;
    };

    const readyLine = options.awaitReadyLine === true ?
        await readFirstLine(child, exited, options).catch(async (error: unknown) => {
            await kill();
            throw error;
        }) :
        undefined;

    return {
        name: options.name,
        pid,
        logFile: options.logFile,
        isRunning,
        isStopRequested: () => hasStopRequest,
        exited,
        readyLine,
        stop,
        kill,
        freeze: () => sendSignal("SIGSTOP"),
        resume: () => sendSignal("SIGCONT"),
        killNow,
    };
};
