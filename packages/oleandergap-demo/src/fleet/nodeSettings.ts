/** Creates the settings file of a node. */
import type { ZoneName } from "oleandergap-types";
import { listZones, type FleetPlan, type VmPlan } from "../plan/fleetPlan.js";

/** Number of nodes per availability zone that are listed as seeds in the settings of every node. */
const SEEDS_PER_ZONE = 2;

type Section = Readonly<Record<string, unknown>>;

interface Seed {
    readonly zone: ZoneName;
    readonly address: string;
    readonly port: number;
}

const listSeeds = (plan: FleetPlan): readonly Seed[] =>
    listZones(plan).flatMap((zone) =>
        plan.vms
            .filter((vm) => vm.zone === zone)
            .slice(0, SEEDS_PER_ZONE)
            .map((vm) => ({ zone, address: vm.address, port: plan.ports.control })));

const isSection = (value: unknown): value is Section =>
    typeof value === "object" && value !== null && !Array.isArray(value);

/** Merges `overrides` into `base`, section by section. */
const mergeSections = (base: Section, overrides: Section): Section => {
    const merged: Record<string, unknown> = { ...base };
    for (const [name, value] of Object.entries(overrides)) {
        const current = merged[name];
        merged[name] = isSection(current) && isSection(value) ? mergeSections(current, value) : value;
    }
    return merged;
};

/** Returns the content of the settings file of the daemon on `vm`, merged with the settings of the plan. */
export const createNodeSettings = (plan: FleetPlan, vm: VmPlan, keyFile: string): Section => {
    const { ports } = plan;
    const platform = { address: plan.platform.entrances[vm.zone] ?? plan.platform.address, port: ports.platform };
    const base = {
        nodeId: vm.id,
        zone: vm.zone,
        partners: plan.partners.map((partner) => partner.partner),
        listen: {
            address: vm.address,
            gatewayPort: ports.gateway,
            gatePort: ports.gate,
            controlPort: ports.control,
            adminPort: ports.admin,
        },
        cluster: { keyFile },
        platform: { tableService: platform, objectStore: platform },
        membership: { clusterName: `fleet-${ports.gateway}`, seeds: listSeeds(plan) },
        distribution: { budget: { zones: listZones(plan).length } },
    };
    return mergeSections(base, plan.settings ?? {});
};
