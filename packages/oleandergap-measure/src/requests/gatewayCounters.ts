/**
 * Measures how fast gateways refuse requests. The nodes count this themselves, so delays of the caller are excluded.
 */
import { sumMetric, type Fleet } from "oleandergap-demo";

/** Totals of the running nodes, each since the start of the node. */
export interface GatewayCounters {
    readonly refused: number;
    /** Number of requests with any result that ended within five milliseconds. */
    readonly withinFiveMs: number;
}

const FIVE_MS_BUCKET = "0.005";

/** Reads the counters of all running nodes. Rejects if one of them does not respond. */
export const readGatewayCounters = async (fleet: Fleet): Promise<GatewayCounters> => {
    const texts = await Promise.all(
        fleet.nodes.filter((node) => node.isRunning()).map((node) => node.readMetrics()),
    );
    const sum = (name: string, labels: Readonly<Record<string, string>>): number =>
        texts.reduce((total, text) => total + sumMetric(text, name, labels), 0);
    return {
        refused: sum("oleandergap_requests_total", { at: "gateway", verdict: "notRun" }),
        withinFiveMs: sum("oleandergap_gateway_request_seconds_bucket", { le: FIVE_MS_BUCKET }),
    };
};

/**
 * Returns the share of refusals that the gateway sent within five milliseconds. This is valid only if no target
 * responds that fast, because the nodes count requests with any result together.
 */
export const computeFastRefusalShare = (before: GatewayCounters, after: GatewayCounters): number => {
    const refused = after.refused - before.refused;
    return refused === 0 ? 1 : Math.min(1, (after.withinFiveMs - before.withinFiveMs) / refused);
};
