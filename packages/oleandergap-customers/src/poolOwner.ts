/**
 * Grants tokens from the parts of quotas that nodes lend to this node. Every node can be a pool owner; it depends on
 * the lenders which one is.
 */
import type { Clock, Milliseconds, NodeId } from "oleandergap-types";
import type { LentParts } from "./lentParts.js";
import type { PoolStore } from "./poolStore.js";
import type { Ask, Grant, TokenGrant, TokenRequest } from "./quotaMessage.js";
import { sumDemand } from "./statedDemand.js";
import { chooseHold, chooseTokens, type Competition } from "./tokenShare.js";
import type { ZoneSize } from "./zoneSize.js";

/** Answers to a node that are repeated if its message arrives again. More than a node sends in a repetition's time. */
const REPEATED_ANSWERS = 100;
/** Answers to a node are forgotten after this time without a message. */
const FORGET_MS: Milliseconds = 60_000;

/** The latest answers to a node, by the ids of its messages, oldest first. */
interface RecentAnswers {
    readonly grantsById: Map<number, TokenGrant[]>;
    answeredAt: Milliseconds;
}

export interface PoolOwnerDependencies {
    readonly clock: Pick<Clock, "monotonic">;
    readonly zoneSize: ZoneSize;
    readonly parts: LentParts;
    readonly pools: PoolStore;
}

export interface PoolOwner {
    /** Grants tokens. */
    readonly answer: (from: NodeId, ask: Ask) => Grant;
    /** Deletes what has not been used recently. */
    readonly forgetIdle: () => void;
}

export const createPoolOwner = ({ clock, zoneSize, parts, pools }: PoolOwnerDependencies): PoolOwner => {
    const recentAnswers = new Map<NodeId, RecentAnswers>();

    const grant = (from: NodeId, request: TokenRequest): TokenGrant => {
        const { partner, customer, demand } = request;
        const now = clock.monotonic();
        const size = pools.computeSize(request);
        const { bucket, demands } = pools.open(request);
        demands.set(from, { value: demand, at: now });
        const competition: Competition = {
            available: bucket.fill(size, now),
            capacity: size.capacity * bucket.fraction(),
            supply: size.ratePerSecond * bucket.fraction(),
            demand: sumDemand(demands, now),
        };
        const tokens = chooseTokens(request, competition);
        bucket.take(tokens);
        return { partner, customer, tokens, holdMs: chooseHold(request, tokens, competition) };
    };

    const findAnswers = (from: NodeId): RecentAnswers["grantsById"] => {
        const now = clock.monotonic();
        const answers = recentAnswers.get(from) ?? { grantsById: new Map(), answeredAt: now };
        recentAnswers.set(from, answers);
        answers.answeredAt = now;
        return answers.grantsById;
    };

    const grantAll = (from: NodeId, { id, requests }: Ask): TokenGrant[] => {
        const answers = findAnswers(from);
        const grants = requests.map((request) => grant(from, request));
        const [oldest] = answers.keys();
        if (oldest !== undefined && answers.size >= REPEATED_ANSWERS) {
            answers.delete(oldest);
        }
        answers.set(id, grants);
        return grants;
    };

    return {
        answer: (from, ask) => {
            parts.update();
            return {
                kind: "Grant",
                id: ask.id,
                stamp: parts.createStamp(),
                members: zoneSize.observed(),
                isReady: zoneSize.isSettled(),
                grants: findAnswers(from).get(ask.id) ?? grantAll(from, ask),
            };
        },
        forgetIdle: () => {
            pools.forgetIdle();
            for (const [node, { answeredAt }] of recentAnswers) {
                if (clock.monotonic() - answeredAt > FORGET_MS) {
                    recentAnswers.delete(node);
                }
            }
        },
    };
};
