/** Procedures for roll-outs. Operators order, see and stop only those of their own partner's services. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { isFinal, type RolloutStatus } from "oleandergap-rollout";
import type { PartnerName, ServiceName } from "oleandergap-types";
import type { OperatorContext } from "./context.js";
import {
    abortRolloutInputSchema,
    startRolloutInputSchema,
    type AbortRolloutInput,
    type StartRolloutInput,
} from "../schemas/inputs.js";
import type { OperatorError } from "../schemas/operatorError.js";
import type { RolloutsView } from "../schemas/views.js";
import { procedure, router } from "./trpc.js";

type RolloutsResult = Either<OperatorError, RolloutsView>;

const isUnderWay = ({ rollout }: RolloutStatus): boolean => !isFinal(rollout.state);

const listRollouts = ({ rollouts, identity, clock }: OperatorContext): RolloutsView => ({
    partner: identity.partner,
    rollouts: rollouts.list()
        .filter(({ rollout }) => rollout.order.service.partner === identity.partner)
        .map(({ rollout: { order, state, reason, orderedAt }, newRequests, otherRequests }) => ({
            id: order.id,
            service: order.service.service,
            version: order.version,
            state,
            reason,
            ageMs: Math.round(clock.monotonic() - orderedAt),
            durationMs: order.durationMs,
            newRequests,
            otherRequests,
        })),
});

const findUnderWay = (
    { rollouts }: OperatorContext,
    partner: PartnerName,
    service: ServiceName,
): RolloutStatus | undefined => rollouts.list().find((status) =>
    isUnderWay(status) &&
    status.rollout.order.service.partner === partner &&
    status.rollout.order.service.service === service);

const logRequest = (context: OperatorContext, action: string, service: ServiceName, detail: object): void =>
    context.logger.info(`A roll-out was ${action}.`, {
        partner: context.identity.partner,
        operator: context.identity.operator,
        service,
        ...detail,
    });

const startRollout = (context: OperatorContext, { service, ...order }: StartRolloutInput): RolloutsResult => {
    const { partner } = context.identity;
    const isKnownService = context.tables.listServices(partner).includes(service);
    if (!isKnownService) {
        return either.left({ kind: "NotFound", detail: `the table of ${partner} has no service ${service}` });
    }
    const current = findUnderWay(context, partner, service);
    if (current !== undefined && current.rollout.order.id !== order.id) {
        const { version, id } = current.rollout.order;
        return either.left({
            kind: "Forbidden",
            detail: `the roll-out ${id} of ${service} to ${version} is under way; stop it first: oleandergap rollout abort ${service}`,
        });
    }
    context.rollouts.submit({ ...order, service: { partner, service } });
    logRequest(context, "ordered", service, { version: order.version, rollout: order.id });
    return either.right(listRollouts(context));
};

const abortRollout = (context: OperatorContext, { service }: AbortRolloutInput): RolloutsResult => {
    const { partner } = context.identity;
    const current = findUnderWay(context, partner, service);
    if (current === undefined) {
        return either.left({ kind: "NotFound", detail: `no roll-out of ${service} is under way` });
    }
    context.rollouts.abort(current.rollout.order.id, `stopped by ${context.identity.operator}`);
    logRequest(context, "stopped", service, { rollout: current.rollout.order.id });
    return either.right(listRollouts(context));
};

/** Router with the procedures `rollout.start`, `rollout.list` and `rollout.abort`. */
export const rolloutRouter = router({
    start: procedure.input(startRolloutInputSchema).mutation(({ ctx, input }): RolloutsResult =>
        startRollout(ctx, input)),
    list: procedure.query(({ ctx }): RolloutsResult => either.right(listRollouts(ctx))),
    abort: procedure.input(abortRolloutInputSchema).mutation(({ ctx, input }): RolloutsResult =>
        abortRollout(ctx, input)),
});
