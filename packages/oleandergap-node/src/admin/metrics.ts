/** Metrics of a node in the Prometheus text format. Gauges are read only when the metrics are scraped. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Milliseconds, Verdict } from "oleandergap-types";
import type { AbandonedStage } from "../gate/abandonedRequestLog.js";
import { reasonOfFailure } from "../http/refusal.js";
import type { RequestResult } from "../http/requestResult.js";
import type { MetricsText } from "./adminHandler.js";

/** A value of a gauge with its labels, at the time of the scrape. */
export interface GaugeReading {
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

export interface GaugeSource {
    readonly name: string;
    readonly help: string;
    readonly labelNames: readonly string[];
    readonly read: () => readonly GaugeReading[];
}

/** Point at which a request was counted: the gateway where it entered, or the gate of its target. */
export type ServedAt = "gateway" | "gate";

export interface NodeMetrics {
    readonly countRequest: (at: ServedAt, end: RequestResult, duration: Milliseconds) => void;
    /** Counts a request of another node whose sender disconnected before its response began. */
    readonly countAbandoned: (stage: AbandonedStage) => void;
    readonly addGauge: (source: GaugeSource) => void;
    readonly read: () => Promise<MetricsText>;
}

interface RequestCount {
    readonly at: ServedAt;
    readonly verdict: Verdict;
    readonly reason: string;
    value: number;
}

const DURATION_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];
const MILLISECONDS_PER_SECOND = 1000;
const STATUS_CLASS_SIZE = 100;

const getVerdict = (end: RequestResult): Verdict => end.kind === "Answered" ? "ran" : end.failure.verdict;

/** Returns the class of the response's status, such as `2xx`, or the reason of the failure. */
export const formatEndReason = (end: RequestResult): string =>
    end.kind === "Answered" ? `${Math.floor(end.statusCode / STATUS_CLASS_SIZE)}xx` : reasonOfFailure(end.failure);

export const createNodeMetrics = (): NodeMetrics => {
    const registry = new Registry();
    const requests = new Counter({
        name: "oleandergap_requests_total",
        help: "Requests by where they were served, verdict, and class of status or reason of failure.",
        labelNames: ["at", "verdict", "reason"] as const,
        registers: [registry],
    });
    const abandoned = new Counter({
        name: "oleandergap_abandoned_requests_total",
        help: "Requests of other nodes whose sender disconnected before their response began, by how far they had got.",
        labelNames: ["stage"] as const,
        registers: [registry],
    });
    // Each point has a histogram of its own: without labels, an observation only has to find its bucket.
    const createDurations = (at: ServedAt): Histogram =>
        new Histogram({
            name: `oleandergap_${at}_request_seconds`,
            help: `Time from a request's head to the head of its response or its failure, at the ${at}.`,
            buckets: DURATION_BUCKETS_SECONDS,
            registers: [registry],
        });
    const durations = { gateway: createDurations("gateway"), gate: createDurations("gate") };

    /**
     * Requests counted since the last scrape. The metrics library builds a key from the labels at each call; the keys
     * of this map are cheaper, and the library is called only at a scrape.
     */
    const pendingCounts = new Map<string, RequestCount>();

    const findCount = (at: ServedAt, end: RequestResult): RequestCount => {
        const verdict = getVerdict(end);
        const reason = formatEndReason(end);
        const key = `${at} ${verdict} ${reason}`;
        let count = pendingCounts.get(key);
        if (count === undefined) {
            count = { at, verdict, reason, value: 0 };
            pendingCounts.set(key, count);
        }
        return count;
    };

    const flushCounts = (): void => {
        for (const count of pendingCounts.values()) {
            const { at, verdict, reason } = count;
            requests.inc({ at, verdict, reason }, count.value);
            count.value = 0;
        }
    };

    const countRequest = (at: ServedAt, end: RequestResult, duration: Milliseconds): void => {
        findCount(at, end).value += 1;
        durations[at].observe(duration / MILLISECONDS_PER_SECOND);
    };

    const addGauge = (source: GaugeSource): void => {
        const gauge = new Gauge({
            name: source.name,
            help: source.help,
            labelNames: [...source.labelNames],
            registers: [registry],
            collect: () => {
                gauge.reset();
                for (const reading of source.read()) {
                    gauge.set({ ...reading.labels }, reading.value);
                }
            },
        });
    };

    return {
        countRequest,
        countAbandoned: (stage) => abandoned.inc({ stage }),
        addGauge,
        read: async () => {
            flushCounts();
            return { contentType: registry.contentType, body: await registry.metrics() };
        },
    };
};
