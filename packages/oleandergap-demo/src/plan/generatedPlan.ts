/** Generates plans of fleets of any size for experiments. */
import type { PartnerName, ServiceName, ZoneName } from "oleandergap-types";
import { createLimits } from "./deployments.js";
import {
    MAX_VMS_PER_ZONE,
    createPlatformPlan,
    createPortPlan,
    type FleetPlan,
    type PartnerPlan,
    type TargetBehaviour,
} from "./fleetPlan.js";
import { distributeOverZones, placeOnVms } from "./placement.js";

/**
 * Options of a generated plan. Only the number of nodes is required; the nodes are split evenly between the partners.
 */
export interface GeneratedPlanOptions {
    readonly nodes: number;
    /** Number of availability zones per partner. */
    readonly zonesPerPartner?: number;
    /** Number of rows in each partner's table. */
    readonly servicesPerPartner?: number;
    /** Number of targets of each service that has targets. The other rows exist only as configuration. */
    readonly targetsPerService?: number;
    readonly behaviour?: TargetBehaviour;
    readonly portBase?: number;
    readonly settings?: Readonly<Record<string, unknown>>;
}

const DEFAULT_ZONES_PER_PARTNER = 2;
const DEFAULT_TARGETS_PER_SERVICE = 4;
const SLOTS = 16;
const CONNECTIONS = 128;
const WEIGHT = 100;
const PARTNERS: readonly PartnerName[] = ["halloway", "kushiro"];
const IDEMPOTENCY_CYCLE = ["optional", "required"] as const;

const createServiceNames = (count: number): readonly ServiceName[] =>
    Array.from({ length: count }, (_, index) => `service-${index + 1}`);

const createPartner = (
    partner: PartnerName,
    zones: readonly ZoneName[],
    services: readonly ServiceName[],
): PartnerPlan => ({
    partner,
    operator: "operator-one",
    zones,
    limits: createLimits(SLOTS),
    services: services.map((service, index) => ({
        service,
        limit: index % 2 === 0 ? "reading" : "signing",
        idempotency: IDEMPOTENCY_CYCLE[index % 2] ?? "optional",
        weights: Object.fromEntries(zones.map((zone) => [zone, WEIGHT])),
    })),
});

const countNodes = (nodes: number, partnerIndex: number): number =>
    Math.floor((nodes + PARTNERS.length - 1 - partnerIndex) / PARTNERS.length);

/**
 * Creates a plan in which each partner has half of the nodes, with one target per node. Throws a `RangeError` if a zone
 * would exceed its maximum number of VMs.
 */
export const createGeneratedPlan = (options: GeneratedPlanOptions): FleetPlan => {
    const { nodes, zonesPerPartner = DEFAULT_ZONES_PER_PARTNER, behaviour, settings } = options;
    const targetsPerService = options.targetsPerService ?? DEFAULT_TARGETS_PER_SERVICE;
    if (Math.ceil(nodes / PARTNERS.length / zonesPerPartner) > MAX_VMS_PER_ZONE) {
        throw new RangeError(`${nodes} nodes need more than ${zonesPerPartner} zones per partner`);
    }

    const partnerDrafts = PARTNERS.map((partner, index) => {
        const zones = Array.from({ length: zonesPerPartner }, (_, zone) => `${partner}-${zone + 1}`);
        const nodeCount = countNodes(nodes, index);
        const servedServiceCount = Math.max(1, Math.ceil(nodeCount / targetsPerService));
        const services =
            createServiceNames(Math.max(servedServiceCount, options.servicesPerPartner ?? servedServiceCount));
        const placedTargets = Array.from({ length: nodeCount }, (_, node) => {
            const service = services[Math.floor(node / targetsPerService)] ?? "";
            const target = {
                partner,
                service,
                slots: SLOTS,
                connections: CONNECTIONS,
                ...(behaviour === undefined ? {} : { behaviour }),
            };
            return distributeOverZones(target, 1, zones, node);
        }).flat();
        return { plan: createPartner(partner, zones, services), placed: placedTargets };
    });

    const zones = partnerDrafts.flatMap((draft) => draft.plan.zones);
    return {
        partners: partnerDrafts.map((draft) => draft.plan),
        vms: placeOnVms(zones, partnerDrafts.flatMap((draft) => draft.placed)),
        ports: createPortPlan(options.portBase),
        platform: createPlatformPlan(zones),
        ...(settings === undefined ? {} : { settings }),
    };
};
