/** Plans of the deployments of both partners on one shared mesh, and of smaller fleets. */
import type { Limit, ZoneName } from "oleandergap-types";
import {
    createPlatformPlan,
    createPortPlan,
    type FleetPlan,
    type PartnerPlan,
    type ServicePlan,
    type TargetBehaviour,
} from "./fleetPlan.js";
import { distributeOverZones, placeOnVms, type PlacedTarget } from "./placement.js";

const EQUAL_WEIGHT = 100;

const createEqualWeights = (zones: readonly ZoneName[]): ServicePlan["weights"] =>
    Object.fromEntries(zones.map((zone) => [zone, EQUAL_WEIGHT]));

/** Returns the limits that a partner's services refer to, for targets with the given number of slots. */
export const createLimits = (slots: number): Readonly<Record<"reading" | "signing" | "upload", Limit>> => ({
    reading: { concurrency: slots, queue: 2 * slots, timeoutMs: 3000, retryRatio: 0.1 },
    signing: { concurrency: slots, queue: slots, timeoutMs: 10_000, retryRatio: 0.05 },
    upload: { concurrency: slots, queue: slots, timeoutMs: 60_000, retryRatio: 0.05 },
});

interface ServiceDeployment {
    readonly service: string;
    readonly count: number;
    readonly limit: "reading" | "signing" | "upload";
}

interface Deployment {
    readonly partner: string;
    readonly operator: string;
    readonly zones: readonly ZoneName[];
    readonly slots: number;
    readonly connections: number;
    readonly services: readonly ServiceDeployment[];
}

const halloway: Deployment = {
    partner: "halloway",
    operator: "jordan",
    zones: ["hall-a", "hall-b", "hall-c"],
    slots: 12,
    connections: 120,
    services: [
        { service: "wills-desk", count: 4, limit: "reading" },
        { service: "grant-filer", count: 3, limit: "signing" },
        { service: "deed-vault", count: 3, limit: "upload" },
    ],
};

const kushiro: Deployment = {
    partner: "kushiro",
    operator: "ledger-desk",
    zones: ["sapporo", "kushiro", "asahikawa", "hakodate"],
    slots: 18,
    connections: 130,
    services: [
        { service: "checklist", count: 4, limit: "reading" },
        { service: "signoff-svc", count: 4, limit: "signing" },
        { service: "evidence", count: 4, limit: "upload" },
    ],
};

const createPartnerPlan = ({ partner, operator, zones, slots, services }: Deployment): PartnerPlan => ({
    partner,
    operator,
    zones,
    limits: createLimits(slots),
    services: services.map(({ service, limit }) => ({
        service,
        limit,
        idempotency: limit === "signing" ? "required" : "optional",
        weights: createEqualWeights(zones),
    })),
});

const distributeTargets = ({ partner, zones, slots, connections, services }: Deployment): readonly PlacedTarget[] =>
    services.flatMap(({ service, count }) =>
        distributeOverZones({ partner, service, slots, connections }, count, zones));

const createDeploymentPlan = (deployments: readonly Deployment[], portBase: number | undefined): FleetPlan => {
    const zones = deployments.flatMap((deployment) => deployment.zones);
    return {
        partners: deployments.map(createPartnerPlan),
        vms: placeOnVms(zones, deployments.flatMap(distributeTargets)),
        ports: createPortPlan(portBase),
        platform: createPlatformPlan(zones),
    };
};

/** Creates a plan of both deployments at their full sizes: 22 VMs in seven availability zones. */
export const createFullPlan = (portBase?: number): FleetPlan =>
    createDeploymentPlan([halloway, kushiro], portBase);

/**
 * Creates a small plan for tests: one service per partner, with one VM in each of two zones of the first partner and
 * one zone of the second.
 */
export const createSmallPlan = (portBase?: number): FleetPlan =>
    createDeploymentPlan([
        { ...halloway, zones: ["hall-a", "hall-b"], services: [{ service: "wills-desk", count: 2, limit: "reading" }] },
        { ...kushiro, zones: ["sapporo"], services: [{ service: "checklist", count: 1, limit: "reading" }] },
    ], portBase);

/** Options of a fleet with a single service. */
export interface OneServiceOptions {
    readonly targets: number;
    readonly portBase?: number;
    readonly behaviour?: TargetBehaviour;
    /** Versions that the targets announce in turn; none if absent. */
    readonly versions?: readonly string[];
    /** Settings that are merged into the settings file of every daemon. */
    readonly settings?: FleetPlan["settings"];
}

/** Creates a plan with one service of the first partner in its three availability zones and one VM per target. */
export const createOneServicePlan = (
    { targets, portBase, behaviour, versions, settings }: OneServiceOptions,
): FleetPlan => {
    const plan = createDeploymentPlan([
        { ...halloway, services: [{ service: "wills-desk", count: targets, limit: "reading" }] },
    ], portBase);
    const vms = plan.vms.map((vm, index) => {
        const version = versions?.[index % versions.length];
        return vm.target === undefined ? vm : {
            ...vm,
            target: {
                ...vm.target,
                ...behaviour === undefined ? {} : { behaviour },
                ...version === undefined ? {} : { version },
            },
        };
    });
    return { ...plan, vms, ...settings === undefined ? {} : { settings } };
};
