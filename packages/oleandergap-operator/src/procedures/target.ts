/** Procedure that drains targets. Only operators of the partner that owns a target may drain it. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { NodeId, PartnerName, ServiceReference } from "oleandergap-types";
import type { OperatorContext } from "./context.js";
import { drainInputSchema } from "../schemas/inputs.js";
import type { OperatorError } from "../schemas/operatorError.js";
import type { DrainError, FleetReport } from "../ports.js";
import { procedure, router } from "./trpc.js";
import type { DrainView } from "../schemas/views.js";
import { fleetTimeoutError, withDeadline } from "./withDeadline.js";

const findPartnerTarget = (
    report: FleetReport,
    nodeId: NodeId,
    partner: PartnerName,
): Either<OperatorError, ServiceReference> => {
    const target = report.nodes.find(({ member }) => member.id === nodeId)?.member.target;
    if (target === undefined) {
        return either.left({ kind: "NotFound", detail: `no target is known at node ${nodeId}` });
    }
    return target.partner === partner ?
        either.right({ partner: target.partner, service: target.service }) :
        either.left({ kind: "Forbidden", detail: `the target at node ${nodeId} belongs to another partner` });
};

const convertDrainError = (nodeId: NodeId) => (error: DrainError): OperatorError =>
    error.kind === "NoSuchTarget" ?
        { kind: "NotFound", detail: `the target at node ${nodeId} has left or was replaced` } :
        { kind: "NodeUnreachable", attempts: [{ node: nodeId, detail: error.detail }] };

const drainTarget = async (
    { fleet, identity, logger, signal }: OperatorContext,
    nodeId: NodeId,
): Promise<Either<OperatorError, DrainView>> => {
    const report = await fleet.report({ withHeads: false }, signal);
    const service = findPartnerTarget(report, nodeId, identity.partner);
    if (either.isLeft(service)) {
        return service;
    }
    const drained = await fleet.drain({ nodeId, service: service.right }, signal)();
    logger.info("A drain was requested.", {
        partner: identity.partner,
        operator: identity.operator,
        nodeId,
        result: either.isRight(drained) ? "draining" : drained.left.kind,
    });
    return either.isRight(drained) ?
        either.right({ nodeId, service: service.right.service }) :
        either.left(convertDrainError(nodeId)(drained.left));
};

/** Router with the procedure `target.drain`. */
export const targetRouter = router({
    drain: procedure.input(drainInputSchema).mutation(
        ({ ctx, input }): Promise<Either<OperatorError, DrainView>> =>
            withDeadline(ctx.signal, () => drainTarget(ctx, input.nodeId), fleetTimeoutError),
    ),
});
