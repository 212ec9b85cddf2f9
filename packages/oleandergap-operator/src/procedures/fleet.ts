/** Procedures that report the state of the fleet. */
import * as either from "fp-ts/lib/Either.js";
import * as taskEither from "fp-ts/lib/TaskEither.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { pipe } from "fp-ts/lib/function.js";
import type { Head } from "oleandergap-types";
import { z } from "zod";
import type { OperatorContext } from "./context.js";
import { toMembersView, toTargetsView, toVersionsView } from "./fleetViews.js";
import type { OperatorError } from "../schemas/operatorError.js";
import { convertPlatformReadError } from "./convertPlatformReadError.js";
import type { FleetReport } from "../ports.js";
import { startTimeLimit } from "oleandergap-utils";
import { procedure, router } from "./trpc.js";
import type { VersionsView } from "../schemas/views.js";
import { fleetTimeoutError, platformTimeoutError, withDeadline } from "./withDeadline.js";

/** Maximum time to wait for the accepted heads from the platform, after which the view is returned without them. */
const ACCEPTED_HEADS_TIMEOUT_MS = 1000;

const noInputSchema = z.strictObject({}).default({});

const readReport = ({ fleet, signal }: OperatorContext): TaskEither<OperatorError, FleetReport> =>
    taskEither.fromTask(() => fleet.report({ withHeads: false }, signal));

/** Returns undefined while the platform is unavailable, because the view of the fleet does not depend on it. */
const readAcceptedHeads = async ({ clock, signal, tables }: OperatorContext): Promise<readonly Head[] | undefined> => {
    const timeLimit = startTimeLimit(clock, ACCEPTED_HEADS_TIMEOUT_MS, signal);
    const task = pipe(tables.acceptedHeads(timeLimit.signal), taskEither.mapLeft(convertPlatformReadError));
    const accepted = await withDeadline(timeLimit.signal, task, platformTimeoutError);
    timeLimit.cancel();
    return either.isRight(accepted) ? accepted.right : undefined;
};

const readVersions = (context: OperatorContext): TaskEither<OperatorError, VersionsView> => async () => {
    const [report, acceptedHeads] = await Promise.all([
        context.fleet.report({ withHeads: true }, context.signal),
        readAcceptedHeads(context),
    ]);
    return either.right(toVersionsView(context.identity.partner, report, acceptedHeads));
};

/** Router with the procedures `fleet.versions`, `fleet.members` and `fleet.targets`. */
export const fleetRouter = router({
    versions: procedure.input(noInputSchema).query(({ ctx }) =>
        withDeadline(ctx.signal, readVersions(ctx), fleetTimeoutError)),
    members: procedure.input(noInputSchema).query(({ ctx }) => {
        const view = pipe(readReport(ctx), taskEither.map((report) => toMembersView(ctx.identity.partner, report)));
        return withDeadline(ctx.signal, view, fleetTimeoutError);
    }),
    targets: procedure.input(noInputSchema).query(({ ctx }) => {
        const view = pipe(readReport(ctx), taskEither.map((report) => toTargetsView(ctx.identity.partner, report)));
        return withDeadline(ctx.signal, view, fleetTimeoutError);
    }),
});
