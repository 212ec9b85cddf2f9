/** What nodes know, and tell each other, of requests beside which targets crashed. Times are monotonic, of one node. */
import { nodeIdSchema, type Milliseconds, type NodeId } from "oleandergap-types";
import { z } from "zod";
import type { Fingerprint } from "./fingerprint.js";

const LONGEST_CRASH_ID = 24;

/** Names one crash of one target, in the whole fleet. */
export const crashIdSchema = z.string().min(1).max(LONGEST_CRASH_ID).regex(/^[\w-]+$/);
/** See {@link crashIdSchema}. */
export type CrashId = z.infer<typeof crashIdSchema>;

/** The node whose target crashed. */
export const crashedNodeSchema = nodeIdSchema;

/** A target ended while requests ran. Each of them may have crashed it; most only ran beside the one that did. */
export interface CrashReport {
    readonly crash: CrashId;
    readonly node: NodeId;
    readonly at: Milliseconds;
    readonly fingerprints: readonly Fingerprint[];
}

/** A run of a suspected request was answered: the crashes before it had another cause. */
export interface GoodRun {
    readonly fingerprint: Fingerprint;
    readonly at: Milliseconds;
}

/** Evidence as it is handed from node to node. */
export interface Evidence {
    readonly crashes: readonly CrashReport[];
    readonly goodRuns: readonly GoodRun[];
}

/** How a request is to be treated. */
export type Judgement =
    | { readonly kind: "Free" }
    /** A target runs no second suspect beside it, so that the next crash tells who is at fault. */
    | { readonly kind: "Suspect"; readonly crashes: number }
    /** The next crash contains it: one target of its service gets it, one run at a time. */
    | { readonly kind: "Probation"; readonly crashes: number }
    /** It is refused until then. */
    | { readonly kind: "Contained"; readonly crashes: number; readonly until: Milliseconds };
