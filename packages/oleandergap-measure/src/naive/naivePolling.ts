/**
 * A naive way to distribute configuration: every node polls the platform for all heads and reads the new deltas of each
 * head that has changed. There are no shared readers, no jitter, no budget and no backoff. The pollers use the same
 * platform stand-in as the nodes of the mesh.
 */
import { setMaxListeners } from "node:events";
import type { Socket } from "node:net";
import {
    rowsResponseSchema,
    TABLE_READ_PATH,
    TABLE_SCAN_PATH,
    type ReadRequest,
    type RowsResponse,
    type ScanRequest,
} from "oleandergap-platform";
import type { Clock, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { buildConnector, Client } from "undici";
import { z } from "zod";

/** Number of pollers, their partners and their polling interval. */
export interface NaivePollingOptions {
    readonly clock: Clock;
    readonly platform: { readonly address: string; readonly port: number };
    readonly nodes: number;
    readonly partners: readonly PartnerName[];
    readonly intervalMs: Milliseconds;
    readonly signal: AbortSignal;
    /** Called when a poller has read all deltas up to a sequence. */
    readonly onApplied: (applied: NaiveAppliedVersion) => void;
}

/** A version that one poller has read completely. */
export interface NaiveAppliedVersion {
    readonly node: number;
    readonly partner: PartnerName;
    readonly sequence: Sequence;
    /** Wall-clock time. */
    readonly at: Milliseconds;
}

/** Running pollers, with their costs since the start. */
export interface NaivePolling {
    /** Returns the bytes sent and received on all connections to the platform. */
    readonly bytes: () => number;
    /** Returns the number of calls made, including failed ones. */
    readonly reads: () => number;
    /** Returns the number of polls that failed because the platform was unreachable or refused a call. */
    readonly failures: () => number;
    /** Resolves when all pollers have ended, which happens after the signal aborts. */
    readonly finished: Promise<void>;
}

const MAX_DELTAS_PER_READ = 200;
const SEQUENCE_DIGITS = 12;
const HTTP_OK = 200;

const headRowSchema = z.looseObject({ sequence: z.number() });
const deltaRowSchema = z.looseObject({ sequence: z.number(), partner: z.string() });

const formatHeadKey = (partner: PartnerName): string => `config/${partner}/head`;
const formatDeltaKey = (partner: PartnerName, sequence: Sequence): string =>
    `config/${partner}/delta/${String(sequence).padStart(SEQUENCE_DIGITS, "0")}`;

/** Creates a connector that adds each new socket to `sockets`, so that its bytes can be counted. */
const createCountingConnector = (sockets: Socket[]): buildConnector.connector => {
    const connect = buildConnector({});
    return (options, callback) => {
        connect(options, (...result) => {
            if (result[0] === null) {
                sockets.push(result[1]);
            }
            callback(...result);
        });
    };
};

const countBytes = (sockets: readonly Socket[]): number =>
    sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);

/** Sends a request and returns the rows of the response. Throws if the platform refuses it or is unreachable. */
const postRows = async (client: Client, path: string, body: ReadRequest | ScanRequest): Promise<RowsResponse["rows"]> => {
    const response = await client.request({
        method: "POST",
        path,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode !== HTTP_OK) {
        throw new Error(`platform responded with status ${response.statusCode}`);
    }
    return rowsResponseSchema.parse(JSON.parse(text)).rows;
};

interface Poller {
    readonly client: Client;
    readonly countRead: () => void;
    readonly applied: Map<PartnerName, Sequence>;
}

const readDeltas = async (poller: Poller, partner: PartnerName, after: Sequence): Promise<Sequence> => {
    const scan = {
        prefix: `config/${partner}/delta/`,
        after: formatDeltaKey(partner, after),
        limit: MAX_DELTAS_PER_READ,
    };
    poller.countRead();
    const rows = await postRows(poller.client, TABLE_SCAN_PATH, scan);
    return rows.reduce<Sequence>((highest, row) => Math.max(highest, deltaRowSchema.parse(row.value).sequence), after);
};

const pollOnce = async (options: NaivePollingOptions, poller: Poller, node: number): Promise<void> => {
    poller.countRead();
    const rows = await postRows(poller.client, TABLE_READ_PATH, { keys: options.partners.map(formatHeadKey) });
    for (const partner of options.partners) {
        const row = rows.find(({ key }) => key === formatHeadKey(partner));
        const appliedSequence = poller.applied.get(partner) ?? 0;
        if (row === undefined || headRowSchema.parse(row.value).sequence <= appliedSequence) {
            continue;
        }
        const sequence = await readDeltas(poller, partner, appliedSequence);
        poller.applied.set(partner, sequence);
        options.onApplied({ node, partner, sequence, at: options.clock.now() });
    }
};

/** Starts all pollers, which end when the signal aborts. */
export const startNaivePolling = (options: NaivePollingOptions): NaivePolling => {
    // Each poller adds an abort listener while it sleeps. The number of pollers is fixed, so this is not a leak.
    setMaxListeners(0, options.signal);
    const sockets: Socket[] = [];
    let failures = 0;
    let reads = 0;
    const countRead = (): void => {
        reads++;
    };

    const runPoller = async (node: number): Promise<void> => {
        const origin = `http://${options.platform.address}:${options.platform.port}`;
        const client = new Client(origin, { connect: createCountingConnector(sockets) });
        const poller = { client, countRead, applied: new Map<PartnerName, Sequence>() };
        while (!options.signal.aborted) {
            try {
                await pollOnce(options, poller, node);
            }
            catch {
                failures++;
            }
            await options.clock.sleep(options.intervalMs, options.signal);
        }
        await client.destroy();
    };

    const pollers = Array.from({ length: options.nodes }, (_unused, node) => runPoller(node));
    return {
        bytes: () => countBytes(sockets),
        reads: () => reads,
        failures: () => failures,
        finished: Promise.all(pollers).then(() => undefined),
    };
};
