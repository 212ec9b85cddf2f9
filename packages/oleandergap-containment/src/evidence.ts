/**
 * Evidence that nodes exchange on requests that were running when a target crashed. All times are on the monotonic
 * clock of one node.
 */
import { nodeIdSchema, type Milliseconds, type NodeId } from "oleandergap-types";
import { z } from "zod";
import type { Fingerprint } from "./fingerprint.js";

const MAX_CRASH_ID_LENGTH = 24;

/** Identifies one crash of one target, unique in the fleet. */
export const crashIdSchema = z.string().min(1).max(MAX_CRASH_ID_LENGTH).regex(/^[\w-]+$/);
/** See {@link crashIdSchema}. */
export type CrashId = z.infer<typeof crashIdSchema>;

/** The node whose target crashed. */
export const crashedNodeSchema = nodeIdSchema;

/**
 * A crash of a target while requests were running. Each of them may be the cause; most were only running at the same
 * time.
 */
export interface CrashReport {
    readonly crash: CrashId;
    readonly node: NodeId;
    readonly at: Milliseconds;
    readonly fingerprints: readonly Fingerprint[];
}

/** A good run: a target answered a suspected request completely, so the earlier crashes had another cause. */
export interface GoodRun {
    readonly fingerprint: Fingerprint;
    readonly at: Milliseconds;
}

/** Evidence as nodes exchange it. */
export interface Evidence {
    readonly crashes: readonly CrashReport[];
    readonly goodRuns: readonly GoodRun[];
}

/** How a request is treated. */
export type Judgement =
    | { readonly kind: "Free" }
    /** A target runs at most one suspect at a time, so that the next crash identifies the cause. */
    | { readonly kind: "Suspect"; readonly crashes: number }
    /** The request is contained after its next crash. Only one target of its service receives it, one run at a time. */
    | { readonly kind: "Probation"; readonly crashes: number }
    /** The request is refused until the given time. */
    | { readonly kind: "Contained"; readonly crashes: number; readonly until: Milliseconds };
