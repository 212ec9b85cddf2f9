/** The departures of targets that a node knows: what the targets have announced, and the order of an operator. */
import type { Announcement } from "oleandergap-types";
import type { Departure } from "../departures/departure.js";
import type { DepartureLog } from "../departures/departureLog.js";
import { createDrainOrder, type DrainOrder } from "./drainOrder.js";
import type { LifetimeReference, Lifetimes } from "./lifetimes.js";

export interface KnownDepartures {
    /** Marks a lifetime as leaving and starts to store its departure, which `confirm` awaits. */
    readonly record: (reference: LifetimeReference) => void;
    /** Resolves with false if the lifetime is leaving and a restart of this node would undo that. */
    readonly confirm: (reference: LifetimeReference) => Promise<boolean>;
    /** Applies departures that were stored before this process started. */
    readonly restore: (departures: readonly Departure[]) => void;
    /** Returns whether the target of an announcement must not be used. */
    readonly includes: (announcement: Announcement) => boolean;
    readonly drainOrder: DrainOrder;
}

/** Creates the departures of a node; without `log`, they are forgotten at the end of the process. */
export const createKnownDepartures = (
    lifetimes: Lifetimes,
    log: Pick<DepartureLog, "record"> | undefined,
): KnownDepartures => {
    const drainOrder = createDrainOrder(log);

    const confirm: KnownDepartures["confirm"] = async (reference) => {
        const lifetime = lifetimes.findLeaving(reference);
        return lifetime === undefined || (await log?.record({ kind: "Left", lifetime }) ?? true);
    };

    return {
        record: (reference) => {
            lifetimes.markLeaving(reference);
            void confirm(reference);
        },
        confirm,
        restore: (departures) => {
            for (const departure of departures) {
                if (departure.kind === "Left") {
                    lifetimes.markLeaving(departure);
                }
                else {
                    drainOrder.restore(departure);
                }
            }
        },
        includes: (announcement) =>
            announcement.leaving || lifetimes.isLeaving(announcement) || drainOrder.isFor(announcement),
        drainOrder,
    };
};
