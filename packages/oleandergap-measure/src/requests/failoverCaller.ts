/**
 * A caller that fails over to another gateway once if a gateway refuses the connection, as clients with two addresses
 * do.
 */
import type { Caller, CallResult, GatewayAddress } from "oleandergap-standins";
import { pickOne, type Random } from "oleandergap-utils";

/** A caller that counts refused connections. */
export interface FailoverCaller extends Caller {
    /** Returns the number of calls whose connection was refused. No request was sent for them. */
    readonly countRefusedConnections: () => number;
}

const isConnectionRefused = (result: CallResult): boolean => result.kind === "Failed" && result.verdict === "notRun";

/** Wraps `caller`. The second gateway is chosen from `gateways` at random. */
export const createFailoverCaller = (
    caller: Caller,
    gateways: () => readonly GatewayAddress[],
    random: Random,
): FailoverCaller => {
    let refusedConnections = 0;
    return {
        call: async (gateway, request) => {
            const result = await caller.call(gateway, request);
            if (!isConnectionRefused(result)) {
                return result;
            }
            refusedConnections++;
            const otherGateways = gateways().filter(({ address }) => address !== gateway.address);
            return caller.call(pickOne(random, otherGateways) ?? gateway, request);
        },
        close: caller.close,
        countRefusedConnections: () => refusedConnections,
    };
};
