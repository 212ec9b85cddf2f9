/** Fakes for the ports of the operators' interface, and a server on a loopback socket. */
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { CellConflict, CellEdit, ChangeError, ChangeOutcome, ChangeRequest } from "oleandergap-configuration";
import type { Logger } from "oleandergap-logger";
import { createMemoryTableService } from "oleandergap-platform";
import { createIsolatedRollouts } from "oleandergap-rollout";
import type {
    Cells, CellValue, Head, Member, PartnerDocument, PlatformError, TableRow, TableService,
} from "oleandergap-types";
import { createSystemClock } from "oleandergap-utils";
import {
    createCredentialChecker, createOperatorClient, createOperatorHandler, formatOperatorKey, hashCredential,
    operatorOptionsSchema, type ChangePort, type FleetPort, type FleetReport,
    type NodeAddress, type OperatorClient, type OperatorIdentity, type OperatorOptions,
    type OperatorServices, type TablePort,
} from "../index.js";

const DIGEST = "0".repeat(64);
export const HALLOWAY_CREDENTIAL = `ogop_${"h".repeat(43)}`;
export const KUSHIRO_CREDENTIAL = `ogop_${"k".repeat(43)}`;
export const UNKNOWN_CREDENTIAL = `ogop_${"u".repeat(43)}`;
const jordanIdentity: OperatorIdentity = { partner: "halloway", operator: "jordan" };
const satoIdentity: OperatorIdentity = { partner: "kushiro", operator: "m.sato" };

/** In-memory table of credential rows. */
export interface FakeTable {
    readonly rows: Map<string, unknown>;
    /** When set, all reads fail with this error. */
    failure: PlatformError | undefined;
    /** Number of reads so far. */
    reads: number;
    /** When set, reads determine their result and then wait for this promise before they return it. */
    readDelay: Promise<void> | undefined;
    readonly service: Pick<TableService, "read">;
}

/** Creates a table with the credentials of one operator of each partner. */
export const createFakeTable = (): FakeTable => {
    const rows = new Map<string, unknown>([
        [formatOperatorKey(hashCredential(HALLOWAY_CREDENTIAL)), jordanIdentity],
        [formatOperatorKey(hashCredential(KUSHIRO_CREDENTIAL)), satoIdentity],
    ]);
    const readRows = (keys: readonly string[]): readonly TableRow[] =>
        keys.filter((key) => rows.has(key))
            .map((key) => ({ key, version: { era: 0, version: 1 }, value: rows.get(key) }));
    const table: FakeTable = {
        rows,
        failure: undefined,
        reads: 0,
        readDelay: undefined,
        service: {
            read: (keys) => async () => {
                table.reads += 1;
                const { failure, readDelay } = table;
                const found = readRows(keys);
                await readDelay;
                return failure === undefined ? either.right(found) : either.left(failure);
            },
        },
    };
    return table;
};

/** In-memory change service. */
export interface FakeChanges extends ChangePort {
    /** Cells of each partner. */
    readonly cells: Map<string, Map<string, CellValue>>;
    /** All change requests received so far. */
    readonly requests: ChangeRequest[];
    /** Runs after a change took effect and before its response is sent. */
    beforeResponse: () => Promise<void>;
}

const getOrCreateCells = (changes: FakeChanges, partner: string): Map<string, CellValue> => {
    const cells = changes.cells.get(partner) ?? new Map<string, CellValue>();
    changes.cells.set(partner, cells);
    return cells;
};

const findConflict = (cells: ReadonlyMap<string, CellValue>, edit: CellEdit): readonly CellConflict[] => {
    const actual = cells.get(edit.cell);
    const expected = edit.expected?.kind === "Value" ? edit.expected.value : undefined;
    if (edit.expected === undefined || actual === expected) {
        return [];
    }
    return [{
        cell: edit.cell,
        ...expected === undefined ? {} : { expected },
        ...actual === undefined ? {} : { actual },
    }];
};

/** Creates a service that accepts changes in memory. Repeating a change id returns its first outcome. */
export const createFakeChanges = (): FakeChanges => {
    const accepted = new Map<string, Head>();

    const accept = ({ partner, changeId, edits }: ChangeRequest): Either<ChangeError, ChangeOutcome> => {
        const first = accepted.get(changeId);
        if (first !== undefined) {
            return either.right({ kind: "Accepted", changeId, head: first, isRepeat: true });
        }
        const cells = getOrCreateCells(changes, partner);
        const conflicts = edits.flatMap((edit) => findConflict(cells, edit));
        if (conflicts.length > 0) {
            return either.left({ kind: "Conflict", base: createHead(partner, accepted.size), conflicts });
        }
        for (const { cell, value } of edits) {
            value === undefined ? cells.delete(cell) : cells.set(cell, value);
        }
        const head = createHead(partner, accepted.size + 1);
        accepted.set(changeId, head);
        return either.right({ kind: "Accepted", changeId, head, isRepeat: false });
    };

    const listAccepted = (partner: string): readonly Head[] =>
        [...accepted.values()].filter((head) => head.partner === partner);

    const changes: FakeChanges = {
        cells: new Map(),
        requests: [],
        beforeResponse: () => Promise.resolve(),
        accept: (request) => async () => {
            changes.requests.push(request);
            const outcome = accept(request);
            await changes.beforeResponse();
            return outcome;
        },
        validate: ({ partner }) => async () => either.right({ base: createHead(partner, accepted.size), changes: [] }),
        history: (partner) => async () => either.right({
            entries: listAccepted(partner).map((head) => ({ ...head, baseDigest: DIGEST, changes: [] })),
        }),
        audit: (partner) => async () => either.right({
            entries: listAccepted(partner).map(({ sequence }) =>
                ({ sequence, acceptedAt: 0, operator: "jordan", changeId: "change-0001", changes: [] })),
        }),
    };
    return changes;
};

/** Creates a version of a partner's table. */
export const createDocument = (partner: string, cells: Cells, sequence = 3): PartnerDocument =>
    ({ partner, sequence, digest: DIGEST, cells });

/** Creates the head of a version. */
export const createHead = (partner: string, sequence: number): Head => ({ partner, sequence, digest: DIGEST });

/** Creates an alive node in `zone`, with a target when `service` is given as `partner/service`. */
export const createMember = (id: string, service?: string, zone = "hall-a"): Member => {
    const [partner, name] = service?.split("/") ?? [];
    const member: Member = {
        id, zone, address: "127.0.0.1", controlPort: 17082, gatePort: 17081, incarnation: 1, state: "alive", revision: 0,
    };
    return partner === undefined || name === undefined ?
        member :
        { ...member, target: { partner, service: name, slots: 12, leaving: false, since: 0 } };
};

/** State of a fake node and the services that its handler uses. */
export interface FakeNode {
    readonly services: OperatorServices;
    readonly table: FakeTable;
    readonly changes: FakeChanges;
    /** Fleet report that the node returns. */
    report: FleetReport;
    /** Drained targets, formatted as `node partner/service`. */
    readonly drained: string[];
    /** Whether the node has recovered its configuration. */
    ready: boolean;
    /** All log lines so far. */
    readonly logLines: string[];
}

const createRecordingLogger = (lines: string[]): Logger => {
    const recordLine: Logger["info"] = (message, context) => {
        lines.push(`${message} ${JSON.stringify(context)}`);
    };
    return { debug: recordLine, info: recordLine, warn: recordLine, error: recordLine };
};

/** Creates a fake node that is not listening yet. */
export const createFakeNode = (changes = createFakeChanges(), table = createFakeTable()): FakeNode => {
    const lines: string[] = [];
    const drained: string[] = [];
    const readDocument = (partner: string): PartnerDocument =>
        createDocument(partner, Object.fromEntries(getOrCreateCells(changes, partner)));
    const tables: TablePort = {
        isReady: () => node.ready,
        inForce: readDocument,
        listServices: () => ["grant-filer"],
        accepted: (partner) => async () =>
            table.failure === undefined ? either.right(readDocument(partner)) : either.left(table.failure),
        acceptedHeads: () => async () =>
            table.failure === undefined ? either.right([createHead("halloway", 7)]) : either.left(table.failure),
    };
    const clock = createSystemClock();
    const rollouts = createIsolatedRollouts({ clock, tableService: createMemoryTableService() });
    const fleet: FleetPort = {
        report: () => Promise.resolve(node.report),
        drain: ({ nodeId, service }) => async () => {
            drained.push(`${nodeId} ${service.partner}/${service.service}`);
            return either.right(undefined);
        },
    };
    const logger = createRecordingLogger(lines);
    const node: FakeNode = {
        services: { changeService: changes, tables, fleet, rollouts, logger, clock },
        table,
        changes,
        report: { nodes: [], unknownZones: [] },
        drained: drained,
        ready: true,
        logLines: lines,
    };
    return node;
};

/** Starts a server on a free loopback port. `close` also closes open connections. */
export const listen = async (listener: RequestListener): Promise<{ address: NodeAddress; close: () => void }> => {
    const server: Server = createServer(listener);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const close = (): void => {
        server.close();
        server.closeAllConnections();
    };
    return { address: { address: "127.0.0.1", port }, close };
};

/** Fake node that listens on a loopback port. */
export interface RunningNode extends FakeNode {
    readonly address: NodeAddress;
    readonly close: () => void;
}

/** Starts the operators' interface of `node` on a loopback port, with high rate limits unless `options` set them. */
export const startFakeNode = async (
    node: FakeNode = createFakeNode(),
    options: Partial<OperatorOptions> = {},
): Promise<RunningNode> => {
    const highLimits = { unknownCredentialsPerSecond: 1000, requestsPerSecond: 10_000 };
    const allOptions = operatorOptionsSchema.parse({ ...highLimits, ...options });
    const { clock, logger } = node.services;
    const credentials = createCredentialChecker({
        tableService: node.table.service, clock, logger, options: allOptions,
    });
    const controller = new AbortController();
    const handler = createOperatorHandler({
        services: node.services, credentials, options: allOptions, signal: controller.signal,
    });
    const server = await listen(handler);
    const close = (): void => {
        controller.abort();
        server.close();
    };
    return Object.assign(node, { address: server.address, close });
};

/** Creates a client of `nodes` with a real clock. */
export const createTestClient = (
    nodes: readonly NodeAddress[],
    credential: string = HALLOWAY_CREDENTIAL,
    timeoutMs = 5000,
): OperatorClient =>
    createOperatorClient({
        nodes, credential, timeoutMs, clock: createSystemClock(), signal: new AbortController().signal,
    });
