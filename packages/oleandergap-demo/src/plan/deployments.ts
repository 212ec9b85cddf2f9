/** Today's two deployments of the brief, on one shared system. */
import type { Limit, ZoneName } from "oleandergap-types";
import {
    createPlatformPlan,
    createPortPlan,
    type FleetPlan,
    type PartnerPlan,
    type ServicePlan,
    type TargetBehaviour,
} from "./fleetPlan.js";
import { dealOverZones, placeOnVms, type PlacedTarget } from "./placement.js";

const EQUAL_WEIGHT = 100;

const weighEqually = (zones: readonly ZoneName[]): ServicePlan["weights"] =>
    Object.fromEntries(zones.map((zone) => [zone, EQUAL_WEIGHT]));

/** The limits that a partner's services name, for targets with so many slots. */
export const createLimits = (slots: number): Readonly<Record<"reading" | "signing" | "upload", Limit>> => ({
    reading: { concurrency: slots, queue: 2 * slots, timeoutMs: 3000, retryRatio: 0.1 },
    signing: { concurrency: slots, queue: slots, timeoutMs: 10_000, retryRatio: 0.05 },
    upload: { concurrency: slots, queue: slots, timeoutMs: 60_000, retryRatio: 0.05 },
});

interface Worker {
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
    readonly workers: readonly Worker[];
}

const halloway: Deployment = {
    partner: "halloway",
    operator: "jordan",
    zones: ["hall-a", "hall-b", "hall-c"],
    slots: 12,
    connections: 120,
    workers: [
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
    workers: [
        { service: "checklist", count: 4, limit: "reading" },
        { service: "signoff-svc", count: 4, limit: "signing" },
        { service: "evidence", count: 4, limit: "upload" },
    ],
};

const toPartnerPlan = ({ partner, operator, zones, slots, workers }: Deployment): PartnerPlan => ({
    partner,
    operator,
    zones,
    limits: createLimits(slots),
    services: workers.map(({ service, limit }) => ({
        service,
        limit,
        idempotency: limit === "signing" ? "required" : "optional",
        weights: weighEqually(zones),
    })),
});

const placeTargets = ({ partner, zones, slots, connections, workers }: Deployment): readonly PlacedTarget[] =>
    workers.flatMap(({ service, count }) =>
        dealOverZones({ partner, service, slots, connections }, count, zones));

const createDeploymentPlan = (deployments: readonly Deployment[], portBase: number | undefined): FleetPlan => {
    const zones = deployments.flatMap((deployment) => deployment.zones);
    return {
        partners: deployments.map(toPartnerPlan),
        vms: placeOnVms(zones, deployments.flatMap(placeTargets)),
        ports: createPortPlan(portBase),
        platform: createPlatformPlan(zones),
    };
};

/** Both deployments at today's sizes: 22 VMs in seven availability zones. */
export const createTodaysPlan = (portBase?: number): FleetPlan =>
    createDeploymentPlan([halloway, kushiro], portBase);

/** A small fleet for tests: one service each, with a VM in two zones of the first partner and one of the second. */
export const createSmallPlan = (portBase?: number): FleetPlan =>
    createDeploymentPlan([
        { ...halloway, zones: ["hall-a", "hall-b"], workers: [{ service: "wills-desk", count: 2, limit: "reading" }] },
        { ...kushiro, zones: ["sapporo"], workers: [{ service: "checklist", count: 1, limit: "reading" }] },
    ], portBase);

/** How a fleet of one service differs from the usual. */
export interface OneServiceOptions {
    readonly targets: number;
    readonly portBase?: number;
    readonly behaviour?: TargetBehaviour;
    /** Merged into every daemon's settings file. */
    readonly settings?: FleetPlan["settings"];
}

/** One service of the first partner in its three availability zones, one VM for each target. */
export const createOneServicePlan = ({ targets, portBase, behaviour, settings }: OneServiceOptions): FleetPlan => {
    const plan = createDeploymentPlan([
        { ...halloway, workers: [{ service: "wills-desk", count: targets, limit: "reading" }] },
    ], portBase);
    const vms = plan.vms.map((vm) =>
        vm.target === undefined || behaviour === undefined ? vm : { ...vm, target: { ...vm.target, behaviour } });
    return { ...plan, vms, ...settings === undefined ? {} : { settings } };
};
