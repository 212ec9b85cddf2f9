/** Checks that the ports of a plan are free before any process is started. */
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import type { FleetPlan, VmPlan } from "../plan/fleetPlan.js";
import { mapWithLimit } from "../process/mapWithLimit.js";

interface Endpoint {
    readonly protocol: "tcp" | "udp";
    readonly address: string;
    readonly port: number;
}

const MAX_CONCURRENT_CHECKS = 32;

const checkTcp = ({ address, port }: Endpoint): Promise<boolean> =>
    new Promise((resolve) => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen({ host: address, port, exclusive: true }, () => server.close(() => resolve(true)));
    });

const checkUdp = ({ address, port }: Endpoint): Promise<boolean> =>
    new Promise((resolve) => {
        const socket = createSocket("udp4");
        socket.once("error", () => {
            socket.close();
            resolve(false);
        });
        socket.bind({ address, port, exclusive: true }, () => socket.close(() => resolve(true)));
    });

const listVmEndpoints = ({ ports }: FleetPlan) => ({ address, target }: VmPlan): readonly Endpoint[] => {
    const tcpPorts =
        [ports.gateway, ports.gate, ports.control, ports.admin, ...target === undefined ? [] : [ports.target]];
    const tcpEndpoints = tcpPorts.map((port): Endpoint => ({ protocol: "tcp", address, port }));
    return [...tcpEndpoints, { protocol: "udp", address, port: ports.control }];
};

const listEndpoints = (plan: FleetPlan): readonly Endpoint[] => [
    ...plan.vms.flatMap(listVmEndpoints(plan)),
    ...[plan.platform.address, ...Object.values(plan.platform.entrances)]
        .map((address): Endpoint => ({ protocol: "tcp", address, port: plan.ports.platform })),
];

/** Rejects with an error that names a port in use and explains how to resolve the conflict. */
export const checkPorts = async (plan: FleetPlan): Promise<void> => {
    const endpoints = listEndpoints(plan);
    const endpointsInUse = await mapWithLimit(endpoints, MAX_CONCURRENT_CHECKS, async (endpoint) => {
        const isFree = await (endpoint.protocol === "tcp" ? checkTcp(endpoint) : checkUdp(endpoint));
        return isFree ? [] : [endpoint];
    });
    const firstInUse = endpointsInUse.flat()[0];
    if (firstInUse !== undefined) {
        throw new Error(
            `${firstInUse.protocol} port ${firstInUse.address}:${firstInUse.port} is in use; is another fleet running? ` +
            "Stop it, or choose other ports with --port-base",
        );
    }
};
