/** Procedures that accept and validate changes to the table of the operator's partner. */
import { randomUUID } from "node:crypto";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import * as taskEither from "fp-ts/lib/TaskEither.js";
import { pipe } from "fp-ts/lib/function.js";
import type { ChangeOutcome, ChangePreview } from "oleandergap-configuration";
import { convertChangeError } from "./convertChangeError.js";
import type { OperatorContext } from "./context.js";
import { changeInputSchema, validateInputSchema, type ChangeInput, type ValidateInput } from "../schemas/inputs.js";
import type { OperatorError } from "../schemas/operatorError.js";
import { procedure, router } from "./trpc.js";
import type { ChangeOutcomeView, ValidationView } from "../schemas/views.js";
import { platformTimeoutError, withDeadline } from "./withDeadline.js";

const toOutcomeView = ({ kind, changeId, head, isRepeat }: ChangeOutcome): ChangeOutcomeView => ({
    kind,
    changeId,
    partner: head.partner,
    sequence: head.sequence,
    digest: head.digest,
    repeated: isRepeat,
});

const toValidationView = ({ base, changes }: ChangePreview): ValidationView => ({
    partner: base.partner,
    baseSequence: base.sequence,
    changes: [...changes],
});

const acceptChange = async (
    { changeService, confirmIdentity, logger, signal }: OperatorContext,
    input: ChangeInput,
): Promise<Either<OperatorError, ChangeOutcomeView>> => {
    const identity = await confirmIdentity(signal)();
    if (either.isLeft(identity)) {
        return identity;
    }
    const { partner, operator } = identity.right;
    const acceptance = pipe(
        changeService.accept({ partner, operator, ...input }, signal),
        taskEither.bimap(convertChangeError, toOutcomeView),
    );
    const outcome = await withDeadline(signal, acceptance, {
        kind: "OutcomeUnknown",
        changeId: input.changeId,
        detail: "the platform did not confirm it in time",
    });
    logger.info("A change was handled.", {
        partner,
        operator,
        changeId: input.changeId,
        result: either.isRight(outcome) ? outcome.right.kind : outcome.left.kind,
    });
    return outcome;
};

const validateChange = (
    { changeService, identity, signal }: OperatorContext,
    input: ValidateInput,
): Promise<Either<OperatorError, ValidationView>> => {
    const preview = pipe(
        changeService.validate({ ...identity, ...input, changeId: randomUUID() }, signal),
        taskEither.bimap(convertChangeError, toValidationView),
    );
    return withDeadline(signal, preview, platformTimeoutError);
};

/** Router with the procedures `change.accept` and `change.validate`. */
export const changeRouter = router({
    accept: procedure.input(changeInputSchema).mutation(({ ctx, input }) => acceptChange(ctx, input)),
    // Semantically a query, but sent as a mutation because the edits can exceed the maximum length of a URL.
    validate: procedure.input(validateInputSchema).mutation(({ ctx, input }) => validateChange(ctx, input)),
});
