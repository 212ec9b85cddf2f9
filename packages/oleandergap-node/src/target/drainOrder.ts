/** The order of an operator to drain the target of a node. It holds until the target is gone, also after a restart. */
import type { Announcement } from "oleandergap-types";
import type { Departure, DrainedTarget } from "../departures/departure.js";
import type { DepartureLog } from "../departures/departureLog.js";

/** The order in force, if there is one. */
export interface DrainOrder {
    /** Gives the order. Resolves when it is stored, as far as it can be. */
    readonly give: (announcement: Announcement) => Promise<void>;
    /** Applies what was stored before this process started. */
    readonly restore: (departure: Exclude<Departure, { readonly kind: "Left" }>) => void;
    readonly isFor: (announcement: Announcement) => boolean;
    readonly end: () => void;
    /** Ends the order when another target than the drained one is announced. */
    readonly endUnlessFor: (announcement: Announcement) => void;
}

const toDrainedTarget = ({ partner, service, port, instanceId, bornAt }: Announcement): DrainedTarget =>
    ({ partner, service, port, instanceId, bornAt });

const isSameTarget = (left: DrainedTarget, right: DrainedTarget): boolean =>
    left.partner === right.partner &&
    left.service === right.service &&
    left.port === right.port &&
    left.instanceId === right.instanceId &&
    left.bornAt === right.bornAt;

/** Creates a node's order, of which there is none yet. Without `departures`, an order ends with the process. */
export const createDrainOrder = (departures: Pick<DepartureLog, "record"> | undefined): DrainOrder => {
    let drained: DrainedTarget | undefined;

    const isFor = (announcement: Announcement): boolean =>
        drained !== undefined && isSameTarget(drained, toDrainedTarget(announcement));

    const end = (): void => {
        if (drained !== undefined) {
            drained = undefined;
            void departures?.record({ kind: "DrainEnded" });
        }
    };

    return {
        give: async (announcement) => {
            const target = toDrainedTarget(announcement);
            drained = target;
            await departures?.record({ kind: "Drained", target });
        },
        restore: (departure) => {
            drained = departure.kind === "Drained" ? departure.target : undefined;
        },
        isFor,
        end,
        endUnlessFor: (announcement) => {
            if (!isFor(announcement)) {
                end();
            }
        },
    };
};
