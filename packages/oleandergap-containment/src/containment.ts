/** What a node knows of requests that crash targets, and says of them. */
import type { Logger } from "oleandergap-logger";
import type { Clock, Milliseconds, NodeId, TableService } from "oleandergap-types";
import { hashText, type Random } from "oleandergap-utils";
import { createContainedRows } from "./containedRows.js";
import type { CrashId, CrashReport, Judgement } from "./evidence.js";
import { createEvidenceBook, type ContainedRequest } from "./evidenceBook.js";
import type { EvidenceMessage } from "./evidenceMessage.js";
import { createEvidenceSpread, type EvidenceNetwork } from "./evidenceSpread.js";
import type { Fingerprint } from "./fingerprint.js";
import type { ContainmentOptions } from "./options.js";

/** What a containment is made from. */
export interface ContainmentDependencies<Peer> {
    readonly nodeId: NodeId;
    /** Differs with each start of the process. */
    readonly bootId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: ContainmentOptions;
    readonly network: EvidenceNetwork<Peer>;
    /** Keeps what is contained for the moment at which all nodes start anew. */
    readonly tableService: Pick<TableService, "transact" | "scan">;
    readonly signal: AbortSignal;
}

/** Counts since the start. */
export interface ContainmentStatistics {
    /** Crashes of the own target beside runs. */
    readonly ownCrashes: number;
    /** Requests of which anything is known now. */
    readonly suspects: number;
    /** Requests that are refused now. */
    readonly contained: number;
}

/** The judgements of one node on requests, and the evidence behind them. */
export interface Containment<Peer> {
    /** Begins to ask other nodes. */
    readonly start: () => void;
    readonly receive: (from: Peer, message: EvidenceMessage) => void;
    /** Whether anything is held against any request; while not, no request needs to be named. */
    readonly hasSuspects: () => boolean;
    readonly judge: (fingerprint: Fingerprint) => Judgement;
    /** Time until a contained request may be tried again. */
    readonly retryAfter: (judgement: Extract<Judgement, { readonly kind: "Contained" }>) => Milliseconds;
    /** The own target ended beside these runs. */
    readonly noteOwnCrash: (running: readonly Fingerprint[]) => CrashId;
    /** Another node said of one request that the target beside it ended. */
    readonly noteCrash: (crash: CrashId, node: NodeId, fingerprint: Fingerprint) => void;
    /** The own target answered a request whole. */
    readonly noteGoodRun: (fingerprint: Fingerprint) => void;
    /** Another node's target did; that node tells the others. */
    readonly hearGoodRun: (fingerprint: Fingerprint) => void;
    readonly stats: () => ContainmentStatistics;
}

const BASE_36 = 36;

/** Starts without evidence. */
export const createContainment = <Peer>(
    { nodeId, bootId, clock, random, logger, options, network, tableService, signal }: ContainmentDependencies<Peer>,
): Containment<Peer> => {
    const book = createEvidenceBook(options);
    const rows = createContainedRows({ tableService, clock, random, logger, signal });
    /** Begins the ids of crashes that this process has seen. */
    const ownPrefix = `${hashText(`${nodeId}/${bootId}`).toString(BASE_36)}-`;
    let ownCrashes = 0;
    /** Crashes of each request that is refused. */
    const contained = new Map<Fingerprint, number>();

    const noteContained = (request: ContainedRequest): void => {
        const { fingerprint, crashes, until } = request;
        const forMs = Math.round(until - clock.monotonic());
        const nodes = crashes.map(({ node }) => node).join(" ");
        logger.warn("A request is refused, as targets crash under it.", { fingerprint, nodes, forMs });
        // Each node that saw one of the crashes writes: none knows whether another one lives to do so.
        if (crashes.some(({ crash }) => crash.startsWith(ownPrefix))) {
            rows.save(request);
        }
    };

    const noteReleased = (fingerprint: Fingerprint): void => {
        logger.info("A request is no longer refused for crashes.", { fingerprint });
        rows.remove(fingerprint);
    };

    const noteChange = (fingerprint: Fingerprint): void => {
        const request = book.findContained(fingerprint, clock.monotonic());
        const crashes = request?.crashes.length ?? 0;
        const former = contained.get(fingerprint) ?? 0;
        if (request !== undefined && crashes !== former) {
            contained.set(fingerprint, crashes);
            noteContained(request);
        }
        if (request === undefined && contained.delete(fingerprint)) {
            noteReleased(fingerprint);
        }
    };

    /** Takes in what new evidence has changed: one line at the beginning and at the end of each containment. */
    const noteChanges = (touched: readonly Fingerprint[]): void =>
        new Set([...touched, ...contained.keys()]).forEach(noteChange);

    const spread = createEvidenceSpread({
        clock, random, logger, book, network, loadContained: rows.load, onChange: noteChanges, signal,
    });

    const noteOwnCrash: Containment<Peer>["noteOwnCrash"] = (running) => {
        ownCrashes += 1;
        const crash = `${ownPrefix}${ownCrashes}`;
        const fingerprints = [...new Set(running)];
        const report: CrashReport = { crash, node: nodeId, at: clock.monotonic(), fingerprints };
        logger.warn("The target ended beside runs.", { crash, running: fingerprints.join(" ") });
        book.noteCrash(report);
        spread.tellCrash(report);
        noteChanges(fingerprints);
        return crash;
    };

    const countContained = (): number =>
        [...contained.keys()].filter((fingerprint) => book.findContained(fingerprint, clock.monotonic())).length;

    return {
        start: spread.start,
        receive: spread.receive,
        hasSuspects: book.hasSuspects,
        judge: (fingerprint) => book.judge(fingerprint, clock.monotonic()),
        retryAfter: ({ until }) => Math.max(0, until - clock.monotonic()),
        noteOwnCrash,
        noteCrash: (crash, node, fingerprint) => {
            book.noteCrash({ crash, node, at: clock.monotonic(), fingerprints: [fingerprint] });
            noteChanges([fingerprint]);
        },
        noteGoodRun: (fingerprint) => {
            const run = { fingerprint, at: clock.monotonic() };
            const { kind } = book.judge(fingerprint, run.at);
            const isUrgent = kind === "Probation" || kind === "Contained";
            if (book.noteGoodRun(run)) {
                spread.tellGoodRun(run, isUrgent);
                noteChanges([fingerprint]);
            }
        },
        hearGoodRun: (fingerprint) => {
            if (book.noteGoodRun({ fingerprint, at: clock.monotonic() })) {
                noteChanges([fingerprint]);
            }
        },
        stats: () => ({
            ownCrashes,
            suspects: book.size(),
            contained: countContained(),
        }),
    };
};
