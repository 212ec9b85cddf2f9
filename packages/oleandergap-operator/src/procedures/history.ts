/** Procedures that list the accepted versions and the audit trail of the operator's partner. */
import * as taskEither from "fp-ts/lib/TaskEither.js";
import { pipe } from "fp-ts/lib/function.js";
import type { AuditEntry, Page } from "oleandergap-configuration";
import type { Delta, PartnerName } from "oleandergap-types";
import { convertChangeError } from "./convertChangeError.js";
import { pageInputSchema } from "../schemas/inputs.js";
import { procedure, router } from "./trpc.js";
import type { AuditView, HistoryView } from "../schemas/views.js";
import { platformTimeoutError, withDeadline } from "./withDeadline.js";

const toHistoryView = (partner: PartnerName) => ({ entries, before }: Page<Delta>): HistoryView => ({
    partner,
    entries: entries.map(({ sequence, digest, changes }) => ({ sequence, digest, changes })),
    ...before === undefined ? {} : { before },
});

const toAuditView = (partner: PartnerName) => ({ entries, before }: Page<AuditEntry>): AuditView => ({
    partner,
    entries: entries.map(({ sequence, acceptedAt, operator, changeId, changes }) =>
        ({ sequence, at: acceptedAt, operator, changeId, changes })),
    ...before === undefined ? {} : { before },
});

/** Router with the procedure `history.list`. */
export const historyRouter = router({
    list: procedure.input(pageInputSchema).query(({ ctx, input }) => {
        const { partner } = ctx.identity;
        const page = ctx.changeService.history(partner, input, ctx.signal);
        const view = pipe(page, taskEither.bimap(convertChangeError, toHistoryView(partner)));
        return withDeadline(ctx.signal, view, platformTimeoutError);
    }),
});

/** Router with the procedure `audit.list`. */
export const auditRouter = router({
    list: procedure.input(pageInputSchema).query(({ ctx, input }) => {
        const { partner } = ctx.identity;
        const page = ctx.changeService.audit(partner, input, ctx.signal);
        const view = pipe(page, taskEither.bimap(convertChangeError, toAuditView(partner)));
        return withDeadline(ctx.signal, view, platformTimeoutError);
    }),
});
