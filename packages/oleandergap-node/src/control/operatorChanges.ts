/** Accepts changes by operators. An accepted change is applied at this node and sent to all other nodes immediately. */
import * as either from "fp-ts/lib/Either.js";
import { createChangeService, type ChangeOutcome, type ChangeService } from "oleandergap-configuration";
import type { Logger } from "oleandergap-logger";
import type { Clock, ObjectStore, TableService } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { ControlPlane } from "../createControlPlane.js";
import type { NodeOptions } from "../options.js";

export interface OperatorChangesDependencies {
    readonly options: Pick<NodeOptions, "changes">;
    readonly clock: Clock;
    readonly random: Random;
    readonly createPartLogger: (part: string) => Logger;
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly controlPlane: Pick<ControlPlane, "store" | "spread">;
}

export const createOperatorChanges = (dependencies: OperatorChangesDependencies): ChangeService => {
    const { store, spread } = dependencies.controlPlane;
    const service = createChangeService({
        tableService: dependencies.tableService,
        objectStore: dependencies.objectStore,
        clock: dependencies.clock,
        random: dependencies.random,
        logger: dependencies.createPartLogger("changes"),
        options: dependencies.options.changes,
        findDocument: (partner) => store.document(partner),
    });

    const distributeOutcome = (outcome: ChangeOutcome): void => {
        if (outcome.kind === "Accepted" && outcome.delta !== undefined) {
            // If this node lacks earlier versions, the delta does not apply. The announcement then makes it fetch the
            // missing versions.
            store.offerDeltas(outcome.head.partner, [outcome.delta]);
        }
        spread.announce(outcome.head);
    };

    return {
        ...service,
        accept: (request, signal) => async () => {
            const outcome = await service.accept(request, signal)();
            if (either.isRight(outcome)) {
                distributeOutcome(outcome.right);
            }
            return outcome;
        },
    };
};
