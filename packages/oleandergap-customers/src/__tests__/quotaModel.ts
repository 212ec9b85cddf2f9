/**
 * Plays a schedule of demand and failures against a fleet, one exact central bucket, and the naive division of a quota
 * by the number of nodes.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Customer, CustomerQuota, Milliseconds } from "oleandergap-types";
import { MILLISECONDS_PER_SECOND } from "oleandergap-types";
import { createSeededRandom, pickIndex, type Random } from "oleandergap-utils";
import { defaultQuotaOptions } from "../options.js";
import { createSimulatedFleet, START_MS, type SimulatedFleet } from "./simulatedFleet.js";

/** Something that happens at one moment of a schedule. */
export type Incident =
    | { readonly kind: "CutZone"; readonly zone: number }
    | { readonly kind: "CutNodes"; readonly fraction: number }
    | { readonly kind: "Heal" }
    | { readonly kind: "BadLinks"; readonly loss: number; readonly duplication: number; readonly maximumDelayMs: number }
    | { readonly kind: "KillAll" }
    | { readonly kind: "KillNodes"; readonly fraction: number }
    /** Processes or VMs are suspended for the time that the step lasts. */
    | { readonly kind: "SuspendNodes"; readonly fraction: number; readonly what: "process" | "VM" }
    | { readonly kind: "Lower"; readonly fraction: number }
    /** Each customer's demand becomes `factor` times its rate, at fractions of the zones and of the nodes of each. */
    | { readonly kind: "Demand"; readonly factor: number; readonly zoneSpread: number; readonly nodeSpread: number };

export interface Schedule {
    readonly seed: number;
    readonly zones: number;
    readonly nodesPerZone: number;
    /** Quotas of the customers. */
    readonly quotas: readonly CustomerQuota[];
    /** Requests per second of each customer, in multiples of its rate. */
    readonly factor: number;
    /** Incidents in order, each followed by a pause in which it lasts. */
    readonly steps: readonly { readonly incident: Incident; readonly lastsMs: Milliseconds }[];
}

/** Requests in a period in which nothing changed. */
export interface Served {
    asked: number;
    admitted: number;
    central: number;
    naive: number;
}

export interface Excess {
    readonly customer: string;
    readonly windowEnd: Milliseconds;
    readonly requests: number;
    readonly limit: number;
}

export interface Outcome {
    readonly excesses: readonly Excess[];
    /** Requests later than a second after the last change. */
    readonly stable: Served;
    /** Requests within a second after a change. */
    readonly moving: Served;
    readonly datagramsPerNodeSecond: number;
}

/** Time for the fleet to settle before the first request. */
const SETTLE_MS: Milliseconds = 4000;
const WARM_MS: Milliseconds = 4000;
/** Time after a change in which demand counts as moving. */
const MOVING_MS: Milliseconds = 1000;
/** Time after which nodes that were killed start again. */
const RESTART_MS: Milliseconds = 600;

/** An exact token bucket. */
interface Bucket {
    tokens: number;
    at: Milliseconds;
}

const takeExactly = (bucket: Bucket, { ratePerSecond, burst }: CustomerQuota, now: Milliseconds): boolean => {
    const gained = (now - bucket.at) * ratePerSecond / MILLISECONDS_PER_SECOND;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
};

/** A customer with its demand, and what was decided on its requests. */
interface PlayedCustomer {
    customer: Customer & { readonly quota: CustomerQuota };
    factor: number;
    zoneSpread: number;
    nodeSpread: number;
    readonly central: Bucket;
    readonly naive: Map<number, Bucket>;
    /** Times of the arrivals of admitted requests, in order of admission. */
    readonly admitted: { readonly arrivedAt: Milliseconds; readonly admittedAt: Milliseconds }[];
    /** Quotas since their times. */
    readonly quotas: { readonly since: Milliseconds; readonly quota: CustomerQuota }[];
}

const limitWindow = ({ quotas }: PlayedCustomer, from: Milliseconds, to: Milliseconds): number => {
    const { windowMs, overageFraction, overageRequests } = defaultQuotaOptions;
    const limits = quotas
        .filter(({ since }, index) => since <= to && (quotas[index + 1]?.since ?? Number.POSITIVE_INFINITY) > from)
        .map(({ quota }) => quota.ratePerSecond * windowMs / MILLISECONDS_PER_SECOND + quota.burst);
    return Math.max(...limits) * (1 + overageFraction) + overageRequests;
};

/** Counts the requests of each window that ends with an admission, as sent and admitted within it. */
const findExcesses = (played: PlayedCustomer): readonly Excess[] => {
    const { windowMs } = defaultQuotaOptions;
    const admitted = [...played.admitted].sort((left, right) => left.admittedAt - right.admittedAt);
    let first = 0;
    return admitted.flatMap(({ admittedAt: windowEnd }, index) => {
        while ((admitted[first]?.admittedAt ?? windowEnd) <= windowEnd - windowMs) {
            first++;
        }
        const requests = index - first + 1;
        const limit = limitWindow(played, windowEnd - windowMs, windowEnd);
        return requests <= limit ? [] : [{ customer: played.customer.name, windowEnd, requests, limit }];
    });
};

const chooseNode = (
    { nodeCount }: SimulatedFleet,
    zones: number,
    { zoneSpread, nodeSpread }: PlayedCustomer,
    random: Random,
): number => {
    const usedNodes = Math.max(1, Math.floor(nodeCount / zones * nodeSpread));
    const usedZones = Math.max(1, Math.floor(zones * zoneSpread));
    return pickIndex(random, usedNodes) * zones + pickIndex(random, usedZones);
};

export const playSchedule = (schedule: Schedule): Outcome => {
    const { seed, zones, nodesPerZone, steps } = schedule;
    const random = createSeededRandom(seed);
    const fleet = createSimulatedFleet({ zones, nodesPerZone, seed: seed + 1 });
    const { clock } = fleet;
    const endsAt = START_MS + SETTLE_MS + WARM_MS + steps.reduce((sum, { lastsMs }) => sum + lastsMs, 0);
    const stable: Served = { asked: 0, admitted: 0, central: 0, naive: 0 };
    const moving: Served = { ...stable };
    let changedAt = START_MS + SETTLE_MS;

    const customers = schedule.quotas.map((quota, index): PlayedCustomer => ({
        customer: { name: `customer-${index}`, priority: 0, quota },
        factor: schedule.factor,
        zoneSpread: 1,
        nodeSpread: 1,
        central: { tokens: 0, at: START_MS },
        naive: new Map(),
        admitted: [],
        quotas: [{ since: START_MS, quota }],
    }));
    customers.forEach(({ customer }) => fleet.setQuota(customer.name, customer.quota));

    const takeNaively = (played: PlayedCustomer, node: number, now: Milliseconds): boolean => {
        const { ratePerSecond, burst } = played.customer.quota;
        const bucket = played.naive.get(node) ?? { tokens: 0, at: START_MS };
        played.naive.set(node, bucket);
        const share = { ratePerSecond: ratePerSecond / fleet.nodeCount, burst: Math.max(1, burst / fleet.nodeCount) };
        return takeExactly(bucket, share, now);
    };

    const request = (played: PlayedCustomer): void => {
        const now = clock.monotonic();
        if (now > endsAt) {
            return;
        }
        const rate = Math.max(0.01, played.factor * played.customer.quota.ratePerSecond);
        clock.after(-Math.log(1 - random()) * MILLISECONDS_PER_SECOND / rate, () => request(played));
        const node = chooseNode(fleet, zones, played, random);
        if (fleet.quotaOf(node) === undefined) {
            return;
        }
        const served = now - changedAt < MOVING_MS ? moving : stable;
        served.asked += 1;
        served.central += takeExactly(played.central, played.customer.quota, now) ? 1 : 0;
        served.naive += takeNaively(played, node, now) ? 1 : 0;
        fleet.request(node, played.customer, (decision) => {
            if (either.isRight(decision)) {
                served.admitted += 1;
                played.admitted.push({ arrivedAt: now, admittedAt: clock.monotonic() });
            }
        });
    };

    const restart = (nodes: readonly number[]): void => {
        nodes.forEach((node) => {
            fleet.kill(node);
            clock.after(RESTART_MS, () => fleet.start(node));
        });
    };

    const pickNodes = (fraction: number): readonly number[] =>
        Array.from({ length: fleet.nodeCount }, (_, node) => node).filter(() => random() < fraction);

    const apply = (incident: Incident, lastsMs: Milliseconds): void => {
        switch (incident.kind) {
            case "CutZone":
                fleet.links.isOpen = (from, to) =>
                    (fleet.zoneOf(from) === incident.zone % zones) === (fleet.zoneOf(to) === incident.zone % zones);
                return;
            case "CutNodes": {
                const cut = new Set(pickNodes(incident.fraction));
                fleet.links.isOpen = (from, to) => !cut.has(from) && !cut.has(to);
                return;
            }
            case "Heal":
                Object.assign(fleet.links, { isOpen: () => true, loss: 0, duplication: 0, maximumDelayMs: 1.5 });
                return;
            case "BadLinks":
                Object.assign(fleet.links, incident);
                return;
            case "KillAll":
                restart(pickNodes(1));
                return;
            case "KillNodes":
                restart(pickNodes(incident.fraction));
                return;
            case "SuspendNodes":
                pickNodes(incident.fraction).forEach((node) => {
                    fleet.suspend(node, incident.what);
                    clock.after(lastsMs, () => fleet.wake(node));
                });
                return;
            case "Lower":
                customers.forEach((played) => {
                    const { ratePerSecond, burst } = played.customer.quota;
                    const { fraction } = incident;
                    const quota = { ratePerSecond: ratePerSecond * fraction, burst: burst * fraction };
                    // The demand stays as it is.
                    played.factor /= fraction;
                    played.customer = { ...played.customer, quota };
                    played.quotas.push({ since: clock.monotonic(), quota });
                    fleet.setQuota(played.customer.name, quota);
                });
                return;
            case "Demand":
                customers.forEach((played) => {
                    played.factor = incident.factor;
                    played.zoneSpread = incident.zoneSpread;
                    played.nodeSpread = incident.nodeSpread;
                });
                return;
        }
    };

    clock.runUntil(START_MS + SETTLE_MS);
    customers.forEach((played) => {
        clock.after(random() * MILLISECONDS_PER_SECOND / played.customer.quota.ratePerSecond, () => request(played));
    });
    clock.runUntil(START_MS + SETTLE_MS + WARM_MS);
    for (const { incident, lastsMs } of steps) {
        changedAt = clock.monotonic();
        apply(incident, lastsMs);
        clock.runUntil(changedAt + lastsMs);
    }
    // Decisions on the last requests arrive later.
    clock.runUntil(endsAt + 2 * MOVING_MS);
    return {
        excesses: customers.flatMap(findExcesses),
        stable,
        moving,
        datagramsPerNodeSecond:
            fleet.countDatagrams() * MILLISECONDS_PER_SECOND / (fleet.nodeCount * (endsAt - START_MS - SETTLE_MS)),
    };
};
