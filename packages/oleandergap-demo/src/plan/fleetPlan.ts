/** Plan of a fleet on one machine: partners with their tables, VMs with their targets, ports and limits. */
import type { Limit, PartnerName, ServiceName, ZoneName } from "oleandergap-types";
import type { TargetOptions } from "oleandergap-standins";

/** Row of a partner's first table. */
export interface ServicePlan {
    readonly service: ServiceName;
    /** Name of one of the partner's limits. */
    readonly limit: string;
    readonly idempotency: "required" | "optional";
    /** Weight per availability zone. */
    readonly weights: Readonly<Record<ZoneName, number>>;
}

/** First table of a partner, and its operator. */
export interface PartnerPlan {
    readonly partner: PartnerName;
    /** Name of the operator whose credential is created. */
    readonly operator: string;
    readonly zones: readonly ZoneName[];
    readonly limits: Readonly<Record<string, Limit>>;
    readonly services: readonly ServicePlan[];
}

/** Behaviour of the target on a VM. Omitted options have the defaults of the stand-in. */
export type TargetBehaviour = Partial<Pick<
    TargetOptions,
    "serviceTime" | "coldStart" | "healthBehaviour" | "shed" | "keepAliveMs"
>>;

/** The target on a VM. */
export interface TargetPlan {
    readonly partner: PartnerName;
    readonly service: ServiceName;
    /** Version that the target announces; none if absent. */
    readonly version?: string;
    readonly slots: number;
    readonly connections: number;
    readonly behaviour?: TargetBehaviour;
}

/** A VM with one node and at most one target. */
export interface VmPlan {
    /** Id of the VM and of its node. */
    readonly id: string;
    readonly zone: ZoneName;
    readonly address: string;
    readonly target?: TargetPlan;
}

/** Ports that all VMs use. The VMs differ by address. */
export interface PortPlan {
    readonly gateway: number;
    readonly gate: number;
    readonly control: number;
    readonly admin: number;
    readonly target: number;
    readonly platform: number;
}

/** Complete description of a fleet for `startFleet`. */
export interface FleetPlan {
    readonly partners: readonly PartnerPlan[];
    readonly vms: readonly VmPlan[];
    readonly ports: PortPlan;
    readonly platform: {
        readonly address: string;
        readonly writesPerSecond: number;
        readonly readsPerSecond: number;
        /** Address of the platform entrance of each availability zone. */
        readonly entrances: Readonly<Record<ZoneName, string>>;
    };
    /** Settings that are merged into the settings file of every daemon, for experiments with other options. */
    readonly settings?: Readonly<Record<string, unknown>>;
}

/** Default for the first port of a fleet. */
export const DEFAULT_PORT_BASE = 17_080;

/** Returns ports relative to a base, so that several fleets can run concurrently on the same addresses. */
export const createPortPlan = (base: number = DEFAULT_PORT_BASE): PortPlan => ({
    gateway: base,
    gate: base + 1,
    control: base + 2,
    admin: base + 3,
    target: base + 10,
    platform: base + 20,
});

/** Last part of the address of the platform entrance of an availability zone. */
const ENTRANCE_HOST = 254;
/** Maximum number of VMs in an availability zone, limited by the address space of a zone. */
export const MAX_VMS_PER_ZONE = ENTRANCE_HOST - 1;

/** Returns the address of VM number `host` in availability zone number `zone`. Both numbers start at 1. */
export const formatVmAddress = (zone: number, host: number): string => `127.20.${zone}.${host}`;

/** Returns the address and limits of the platform, with an entrance for each of `zones`. */
export const createPlatformPlan = (zones: readonly ZoneName[]): FleetPlan["platform"] => ({
    address: "127.20.0.1",
    writesPerSecond: 500,
    readsPerSecond: 2000,
    entrances: Object.fromEntries(zones.map((zone, index) => [zone, formatVmAddress(index + 1, ENTRANCE_HOST)])),
});

/** Returns all availability zones without duplicates, in the order of their numbers. */
export const listZones = (plan: Pick<FleetPlan, "partners">): readonly ZoneName[] =>
    [...new Set(plan.partners.flatMap((partner) => partner.zones))];
