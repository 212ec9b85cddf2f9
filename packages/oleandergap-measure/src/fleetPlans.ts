/** Creates the fleet plan of an experiment. */
import { createGeneratedPlan, createFullPlan, type FleetPlan, type TargetBehaviour } from "oleandergap-demo";

/** Number of nodes in the current two deployments. */
export const CURRENT_DEPLOYMENT_NODES = 22;
const MAX_NODES_PER_ZONE = 30;

/** Options of an experiment's fleet. */
export interface PlanOptions {
    readonly nodes: number;
    readonly behaviour?: TargetBehaviour;
    readonly servicesPerPartner?: number;
}

/**
 * Creates the plan of the current deployments for 22 nodes, otherwise a plan of two partners with half of the nodes
 * each.
 */
export const createExperimentPlan = ({ nodes, behaviour, servicesPerPartner }: PlanOptions): FleetPlan => {
    if (nodes === CURRENT_DEPLOYMENT_NODES && behaviour === undefined && servicesPerPartner === undefined) {
        return createFullPlan();
    }
    return createGeneratedPlan({
        nodes,
        zonesPerPartner: Math.max(2, Math.ceil(nodes / 2 / MAX_NODES_PER_ZONE)),
        ...(behaviour === undefined ? {} : { behaviour }),
        ...(servicesPerPartner === undefined ? {} : { servicesPerPartner }),
    });
};
