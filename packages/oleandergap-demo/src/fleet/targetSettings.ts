/** Creates the plan file of the process that runs all target stand-ins of a fleet. */
import type { z } from "zod";
import type { targetsPlanSchema } from "oleandergap-standins";
import type { FleetPlan } from "../plan/fleetPlan.js";

/**
 * Returns a plan with the target of each VM that has one. The control port is any free port; the ready line of the
 * process contains it.
 */
export const createTargetsPlan = (plan: FleetPlan): z.input<typeof targetsPlanSchema> => ({
    control: { address: plan.platform.address, port: 0 },
    targets: plan.vms.flatMap((vm, index) => {
        const { target, address } = vm;
        return target === undefined ? [] : [{
            ...target.behaviour,
            id: vm.id,
            partner: target.partner,
            service: target.service,
            ...target.version === undefined ? {} : { version: target.version },
            address,
            port: plan.ports.target,
            slots: target.slots,
            connections: target.connections,
            node: { address, adminPort: plan.ports.admin },
            seed: index + 1,
        }];
    }),
});
