/**
 * Measures the CPU time that a request costs at the two nodes on its way: the node at which it enters and the node of
 * the only target of its service.
 */
import { createGeneratedPlan, type Fleet, type FleetPlan } from "oleandergap-demo";
import { createCaller, type Caller, type LoadReport } from "oleandergap-standins";
import type { Milliseconds, NodeId } from "oleandergap-types";
import type { ExperimentContext } from "../experiment.js";
import { runMeasuredLoad } from "../requests/measuredLoad.js";
import { createMeasuredRead, measuredService } from "../requests/serviceFleet.js";
import { readNodeUsage } from "../nodeUsage.js";
import { withFleet } from "../withFleet.js";

const NODES = 8;
/** Differs from the ports of the other experiments and of the demo, so that all of them can run at the same time. */
const PORT_BASE = 19_080;
const SERVICE_TIME_MS: Milliseconds = 20;
const TIMEOUT_MS: Milliseconds = 2000;
/** High enough that the code of the target's node is compiled, and low enough that no request waits for a slot. */
const RATE_PER_SECOND = 300;
const IDLE_MS: Milliseconds = 5000;
/** Time in which connections are opened and code is compiled. */
const WARM_UP_MS: Milliseconds = 6000;
const LOAD_MS: Milliseconds = 10_000;

/** Input of a measurement, whose fleet has a fixed size. */
export type CostContext = Omit<ExperimentContext, "nodes">;

/** CPU time per request in milliseconds, without what the nodes use at rest. */
export interface RequestCost {
    /** At the node at which the request enters. */
    readonly entryMs: Milliseconds;
    /** At the node of the target. */
    readonly gateMs: Milliseconds;
    /** Share of the requests that were answered. */
    readonly answeredShare: number;
}

/** CPU time since the start of the entry nodes together, and of the target's node. */
interface CpuReading {
    readonly entryMs: Milliseconds;
    readonly gateMs: Milliseconds;
}

const createPlan = (): FleetPlan => createGeneratedPlan({
    nodes: NODES,
    targetsPerService: 1,
    behaviour: {
        serviceTime: { medianMs: SERVICE_TIME_MS, spread: 0 },
        coldStart: { factor: 1, durationMs: 0 },
    },
    portBase: PORT_BASE,
});

const findTargetNode = ({ plan }: Fleet): NodeId => {
    const found = plan.vms.find(({ target }) =>
        target?.partner === measuredService.partner && target.service === measuredService.service);
    if (found === undefined) {
        throw new RangeError(`the plan has no target of ${measuredService.partner}/${measuredService.service}`);
    }
    return found.id;
};

const readCpu = async (fleet: Fleet, targetNode: NodeId): Promise<CpuReading> => {
    const usage = await readNodeUsage(fleet);
    const sum = (isWanted: (name: string) => boolean): Milliseconds =>
        usage.filter(({ name }) => isWanted(name)).reduce((total, { cpuMs }) => total + cpuMs, 0);
    return {
        entryMs: sum((name) => name !== `node ${targetNode}`),
        gateMs: sum((name) => name === `node ${targetNode}`),
    };
};

const subtract = (later: CpuReading, earlier: CpuReading, factor = 1): CpuReading => ({
    entryMs: later.entryMs - factor * earlier.entryMs,
    gateMs: later.gateMs - factor * earlier.gateMs,
});

/** Measures on a fleet of its own, with the daemon of a checkout; by default that of this one. */
export const measureRequestCost = (context: CostContext, daemon?: string): Promise<RequestCost> =>
    withFleet(createPlan(), context, async (fleet) => {
        const { clock, signal } = context;
        const targetNode = findTargetNode(fleet);
        const gateways = fleet.nodes
            .filter(({ vm }) => vm.id !== targetNode)
            .map(({ vm }) => ({ address: vm.address, port: fleet.plan.ports.gateway }));
        const offer = async (caller: Caller, name: string, durationMs: Milliseconds): Promise<LoadReport> => {
            const { report } = await runMeasuredLoad(context, {
                caller,
                gateways: () => gateways,
                ratePerSecond: RATE_PER_SECOND,
                durationMs,
                timeoutMs: TIMEOUT_MS,
                createRequest: (index) => createMeasuredRead(name, index, TIMEOUT_MS),
            });
            return report;
        };

        const beforeRest = await readCpu(fleet, targetNode);
        await clock.sleep(IDLE_MS, signal);
        const rest = subtract(await readCpu(fleet, targetNode), beforeRest);
        const caller = createCaller(clock);
        try {
            await offer(caller, "warm", WARM_UP_MS);
            const beforeLoad = await readCpu(fleet, targetNode);
            const report = await offer(caller, "cost", LOAD_MS);
            const load = subtract(await readCpu(fleet, targetNode), beforeLoad);
            const added = subtract(load, rest, LOAD_MS / IDLE_MS);
            const requests = Math.max(1, report.sent);
            return {
                entryMs: added.entryMs / requests,
                gateMs: added.gateMs / requests,
                answeredShare: report.answered / requests,
            };
        }
        finally {
            await caller.close();
        }
    }, { daemon });
