/** Accepts changes from operators. The changes of different partners are processed independently. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, ObjectStore, TableService } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import { createConfigurationSource } from "../platform/configurationSource.js";
import type { NextVersion } from "../version/delta.js";
import { getDocumentHead } from "../version/document.js";
import { createAcceptance } from "./acceptance.js";
import { createChangeBudget } from "./changeBudget.js";
import { toReadError, type ChangeError } from "./changeError.js";
import { createChangeLog, type ChangeLog } from "./changeLog.js";
import {
    changeRequestSchema,
    type ChangeOutcome,
    type ChangePreview,
    type ChangeRequest,
} from "./changeRequest.js";
import { readHeadRow } from "./changeRows.js";
import { createDocumentLoader, type FindDocument } from "./documentLoader.js";
import { defaultChangeOptions, type ChangeOptions } from "./options.js";
import { createPartnerQueues } from "./partnerQueues.js";
import { planChange, resolveEdits } from "./planChange.js";

/** Dependencies of {@link createChangeService}. */
export interface ChangeServiceDependencies {
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options?: ChangeOptions;
    /** Returns the active version of a partner on this node, which saves reading it from the platform. */
    readonly findDocument?: FindDocument;
}

/** Operations that a node provides to operators. Every call reads from or writes to the platform. */
export interface ChangeService extends ChangeLog {
    /**
     * Accepts a change or returns the reason why it was refused. A retry with the same id returns the recorded outcome.
     */
    readonly accept: (request: ChangeRequest, signal: AbortSignal) => TaskEither<ChangeError, ChangeOutcome>;
    /** Validates a change against the accepted version without writing anything. */
    readonly validate: (request: ChangeRequest, signal: AbortSignal) => TaskEither<ChangeError, ChangePreview>;
}

const parseRequest = (request: ChangeRequest): Either<ChangeError, ChangeRequest> => {
    const result = changeRequestSchema.safeParse(request);
    if (result.success) {
        return either.right(result.data);
    }
    const issue = result.error.issues[0];
    const path = issue?.path.map(String).join(".") ?? "";
    return either.left({ kind: "BadRequest", detail: `${path}: ${issue?.message ?? "wrong value"}` });
};

const countBytes = (request: ChangeRequest): number => Buffer.byteLength(JSON.stringify(request.edits));

/**
 * Creates the change service of one node. Nodes do not coordinate with each other, because the conditional writes on
 * the platform resolve concurrent changes.
 */
export const createChangeService = ({
    tableService,
    objectStore,
    clock,
    random,
    logger,
    options = defaultChangeOptions,
    findDocument = () => undefined,
}: ChangeServiceDependencies): ChangeService => {
    const source = createConfigurationSource({ tableService, objectStore, logger });
    const documentLoader = createDocumentLoader(source, findDocument);
    const budget = createChangeBudget(clock, options);
    const queues = createPartnerQueues(clock, options.maximumWaiting);
    const acceptChange = createAcceptance({
        tableService, objectStore, documentLoader, findDocument, clock, random, logger, options,
    });

    /** Validates a request and takes it from the budget of its partner. */
    const admitRequest = (request: ChangeRequest): Either<ChangeError, ChangeRequest> => {
        const parsed = parseRequest(request);
        if (either.isLeft(parsed)) {
            return parsed;
        }
        const retryAfterMs = budget.take(parsed.right.partner, countBytes(parsed.right));
        return retryAfterMs > 0 ? either.left({ kind: "OverBudget", retryAfterMs }) : parsed;
    };

    const accept: ChangeService["accept"] = (request, signal) => async () => {
        const admitted = admitRequest(request);
        if (either.isLeft(admitted)) {
            return admitted;
        }
        const { partner } = admitted.right;
        const deadline = clock.monotonic() + options.timeoutMs;
        const queueResult = await queues.run(partner, () => acceptChange(admitted.right, deadline, signal));
        return queueResult.kind === "Ran" ?
            queueResult.value :
            either.left({ kind: "OverBudget", retryAfterMs: queueResult.retryAfterMs });
    };

    const validate: ChangeService["validate"] = (request, signal) => async () => {
        const admitted = admitRequest(request);
        if (either.isLeft(admitted)) {
            return admitted;
        }
        const { partner, edits } = admitted.right;
        const state = await readHeadRow(tableService, partner, signal);
        if (either.isLeft(state)) {
            return state;
        }
        const document = await documentLoader.load(partner, state.right.head, signal);
        if (either.isLeft(document)) {
            return either.left(toReadError(document.left));
        }
        const plan = planChange(document.right, resolveEdits(document.right, edits));
        const base = getDocumentHead(document.right);
        return either.map((next: NextVersion | undefined): ChangePreview => ({
            base,
            changes: next?.delta.changes ?? [],
        }))(plan);
    };

    return { accept, validate, ...createChangeLog(tableService) };
};
