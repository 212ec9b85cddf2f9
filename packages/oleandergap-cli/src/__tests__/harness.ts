/** Test harness: a node's operator interface on a loopback socket with an in-memory platform, and a command line. */
import { chmod, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { createChangeService, createConfigurationSource } from "oleandergap-configuration";
import { createLogger } from "oleandergap-logger";
import {
    createCredentialChecker, createOperatorHandler, formatOperatorKey, generateCredential, hashCredential,
    operatorOptionsSchema, type ChangePort, type FleetReport, type OperatorServices,
} from "oleandergap-operator";
import { createMemoryObjectStore, createMemoryTableService } from "oleandergap-platform";
import { createIsolatedRollouts } from "oleandergap-rollout";
import type { Clock, Member, PlatformError, TableService } from "oleandergap-types";
import { createSeededRandom, createSystemClock } from "oleandergap-utils";
import { runCommandLine } from "../program.js";

interface FakeTableService extends TableService {
    /** When set, every call fails with this error. */
    failure: PlatformError | undefined;
}

/** Creates a table service that delegates to `service` unless a failure is set. */
const createFakeTableService = (service: TableService): FakeTableService => {
    const callUnlessFailed = <Result>(call: TaskEither<PlatformError, Result>): TaskEither<PlatformError, Result> =>
        () => table.failure === undefined ? call() : Promise.resolve(either.left(table.failure));
    const table: FakeTableService = {
        failure: undefined,
        read: (keys, signal) => callUnlessFailed(service.read(keys, signal)),
        scan: (scan, signal) => callUnlessFailed(service.scan(scan, signal)),
        transact: (operations, signal) => callUnlessFailed(service.transact(operations, signal)),
    };
    return table;
};

/** Exit code and output of one command. */
export interface CommandResult {
    readonly exitCode: number;
    readonly out: string;
    readonly error: string;
}

/** A running node with its files, and functions that run command lines against it. */
export interface Harness {
    /** Temporary folder that contains all files of the harness. */
    readonly folder: string;
    readonly credential: string;
    /** Path of the settings file for this harness. */
    readonly settings: string;
    readonly table: FakeTableService;
    /** Fleet report that the node returns. */
    report: FleetReport;
    /** Text that commands read from standard input. */
    input: string;
    /** Runs before a change is processed. */
    beforeAccept: () => Promise<void>;
    /**
     * Runs before the response to an accepted change is sent. It can prevent the response by throwing or by waiting.
     */
    beforeResponse: () => Promise<void>;
    /** Ids of the nodes whose targets were drained. */
    readonly drained: string[];
    /** Writes a file in the folder and returns its path. The default mode permits access only by the owner. */
    readonly writeFile: (name: string, content: string, mode?: number) => Promise<string>;
    /** Runs a command line with the settings file of the harness. */
    readonly run: (...commandArguments: readonly string[]) => Promise<CommandResult>;
    /** Runs a command line without a settings file. */
    readonly runWithoutSettings: (...commandArguments: readonly string[]) => Promise<CommandResult>;
    /** Output of all commands so far. */
    readonly writtenTexts: string[];
    readonly close: () => Promise<void>;
}

/** Creates an alive node, with a target of halloway's `service` when it is given. */
export const createMember = (id: string, zone: string, service?: string): Member => {
    const member: Member = {
        id, zone, address: "127.0.0.1", controlPort: 17082, gatePort: 17081, incarnation: 1, state: "alive", revision: 0,
    };
    return service === undefined ?
        member :
        { ...member, target: { partner: "halloway", service, slots: 12, leaving: false, since: 0 } };
};

/** Starts a node and creates the files of the harness. */
export const startHarness = async (): Promise<Harness> => {
    const clock = createSystemClock();
    const logger = createLogger("test");
    const memoryTable = createMemoryTableService();
    const table = createFakeTableService(memoryTable);
    const folder = await mkdtemp(join(tmpdir(), "oleandergap-cli-"));
    const credential = generateCredential();
    const operatorKey = formatOperatorKey(hashCredential(credential));
    const value = { partner: "halloway", operator: "jordan" };
    memoryTable.state.transact([{ kind: "Put", key: operatorKey, condition: { kind: "Absent" }, value }]);

    const objectStore = createMemoryObjectStore();
    const changeService = createChangeService({
        tableService: table, objectStore, clock, random: createSeededRandom(1), logger,
    });
    const source = createConfigurationSource({ tableService: table, objectStore });
    const changePort: ChangePort = {
        ...changeService,
        accept: (request, signal) => async () => {
            await harness.beforeAccept();
            const outcome = await changeService.accept(request, signal)();
            await harness.beforeResponse();
            return outcome;
        },
    };
    const services: OperatorServices = {
        changeService: changePort,
        tables: {
            isReady: () => true,
            inForce: (partner) => ({ partner, sequence: 0, digest: "0".repeat(64), cells: {} }),
            listServices: () => ["grant-filer"],
            accepted: source.readDocument,
            acceptedHeads: (signal) => source.readHeads(["halloway", "kushiro"], signal),
        },
        fleet: {
            report: () => Promise.resolve(harness.report),
            drain: ({ nodeId }) => async () => {
                harness.drained.push(nodeId);
                return either.right(undefined);
            },
        },
        rollouts: createIsolatedRollouts({ clock, tableService: memoryTable }),
        clock,
        logger,
    };
    const stopController = new AbortController();
    const options = operatorOptionsSchema.parse({ requestsPerSecond: 10_000, unknownCredentialsPerSecond: 1000 });
    const credentials = createCredentialChecker({ tableService: table, clock, logger, options });
    const handler = createOperatorHandler({ services, credentials, options, signal: stopController.signal });
    const server = createServer(handler);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;

    const writeHarnessFile: Harness["writeFile"] = async (name, content, mode = 0o600) => {
        const file = join(folder, name);
        await writeFile(file, content);
        await chmod(file, mode);
        return file;
    };
    await writeHarnessFile("credential", `${credential}\n`);
    const settings = await writeHarnessFile("settings.yaml", [
        "nodes:", "  - address: 127.0.0.1", `    port: ${port}`, "credentialFile: credential", "timeoutMs: 5000", "",
    ].join("\n"));

    // Sleeping advances this clock without waiting, so that polling the fleet takes no time.
    let skippedMs = 0;
    const sleeplessClock: Clock = {
        ...clock,
        monotonic: () => clock.monotonic() + skippedMs,
        sleep: async (delay) => {
            skippedMs += delay;
        },
    };
    let changeCount = 0;
    const execute = async (
        commandArguments: readonly string[],
        variables: Record<string, string>,
    ): Promise<CommandResult> => {
        let out = "";
        let error = "";
        const exitCode = await runCommandLine(commandArguments, {
            variables,
            writeOut: (text) => {
                out += text;
            },
            writeError: (text) => {
                error += text;
            },
            readInput: () => Promise.resolve(harness.input),
            clock: sleeplessClock,
            createChangeId: () => `change-${String(++changeCount).padStart(4, "0")}`,
            signal: new AbortController().signal,
        });
        harness.writtenTexts.push(out, error);
        return { exitCode, out, error };
    };

    const harness: Harness = {
        folder,
        credential,
        settings,
        table,
        report: { nodes: [], unknownZones: [] },
        input: "",
        beforeAccept: () => Promise.resolve(),
        beforeResponse: () => Promise.resolve(),
        drained: [],
        writeFile: writeHarnessFile,
        run: (...commandArguments) => execute(commandArguments, { OLEANDERGAP_SETTINGS: settings }),
        runWithoutSettings: (...commandArguments) => execute(commandArguments, {}),
        writtenTexts: [],
        close: async () => {
            stopController.abort();
            server.close();
            server.closeAllConnections();
            await rm(folder, { recursive: true });
        },
    };
    return harness;
};
