/** Reads the change history and the audit trail of a partner in pages, newest entry first. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { deltaSchema, type Delta, type PartnerName, type Sequence, type TableService } from "oleandergap-types";
import { z } from "zod";
import {
    auditEntrySchema,
    formatAuditPrefix,
    formatDeltaPrefix,
    formatSequence,
    type AuditEntry,
} from "../platform/layout.js";
import { toReadError, type ChangeError } from "./changeError.js";

const DEFAULT_PAGE_LENGTH = 20;
const MAX_PAGE_LENGTH = 100;

/** Selects a page of a log. */
export const pageRequestSchema = z.strictObject({
    /** Restricts the page to versions below this one. */
    before: z.number().int().min(1).optional(),
    limit: z.number().int().min(1).max(MAX_PAGE_LENGTH).default(DEFAULT_PAGE_LENGTH),
});
export type PageRequest = z.infer<typeof pageRequestSchema>;

/** One page of a log, newest entry first. */
export interface Page<Entry> {
    readonly entries: readonly Entry[];
    /** Value of `before` for the next page; missing on the last page. */
    readonly before?: Sequence;
}

/**
 * Accepted changes of a partner. `history` returns the deltas between versions, and `audit` returns the audit entries.
 */
export interface ChangeLog {
    readonly history: (
        partner: PartnerName,
        page: PageRequest,
        signal: AbortSignal,
    ) => TaskEither<ChangeError, Page<Delta>>;
    readonly audit: (
        partner: PartnerName,
        page: PageRequest,
        signal: AbortSignal,
    ) => TaskEither<ChangeError, Page<AuditEntry>>;
}

interface SequencedEntry {
    readonly sequence: Sequence;
}

const toPage = <Entry extends SequencedEntry>(entries: readonly Entry[], limit: number): Page<Entry> => {
    const last = entries.at(-1);
    const isLastPage = last === undefined || entries.length < limit || last.sequence <= 1;
    return isLastPage ? { entries } : { entries, before: last.sequence };
};

/** Creates a change log that reads from the platform on each call, without a cache. */
export const createChangeLog = (tableService: TableService): ChangeLog => {
    const readPage = <Entry extends SequencedEntry>(
        prefix: string,
        schema: z.ZodType<Entry>,
        { before, limit }: PageRequest,
        signal: AbortSignal,
    ): TaskEither<ChangeError, Page<Entry>> => async () => {
        const after = before === undefined ? {} : { after: `${prefix}${formatSequence(before)}` };
        const rows = await tableService.scan({ prefix, limit, descending: true, ...after }, signal)();
        if (either.isLeft(rows)) {
            return either.left(toReadError(rows.left));
        }
        const parsed = z.array(schema).safeParse(rows.right.map((row) => row.value));
        return parsed.success ?
            either.right(toPage(parsed.data, limit)) :
            either.left({ kind: "Damaged", detail: `an entry below ${prefix} cannot be read` });
    };

    return {
        history: (partner, page, signal) => readPage(formatDeltaPrefix(partner), deltaSchema, page, signal),
        audit: (partner, page, signal) => readPage(formatAuditPrefix(partner), auditEntrySchema, page, signal),
    };
};
