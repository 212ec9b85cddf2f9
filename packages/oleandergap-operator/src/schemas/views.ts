/**
 * Responses of the procedures. The client validates each response against these schemas, since a node of another
 * release or a server that is not a node may respond at the address.
 */
import {
    addressSchema,
    cellChangeSchema,
    cellsSchema,
    digestSchema,
    memberStateSchema,
    nodeIdSchema,
    partnerNameSchema,
    portSchema,
    sequenceSchema,
    serviceNameSchema,
    zoneNameSchema,
} from "oleandergap-types";
import { rolloutStateSchema } from "oleandergap-rollout";
import { z } from "zod";
import { tableSourceSchema } from "./inputs.js";

/** One version of the table of the operator's partner. */
export const tableViewSchema = z.object({
    partner: partnerNameSchema,
    source: tableSourceSchema,
    sequence: sequenceSchema,
    digest: digestSchema,
    cells: cellsSchema,
});
export type OperatorTableView = z.infer<typeof tableViewSchema>;

/** Row of a service with the cells of the limit that the row names. */
export const rowViewSchema = tableViewSchema.extend({ service: serviceNameSchema });
export type OperatorRowView = z.infer<typeof rowViewSchema>;

/** Outcome of a change that was not rejected. */
export const changeOutcomeSchema = z.object({
    /** `Unchanged`: all cells already had the requested values, and no version was created. */
    kind: z.enum(["Accepted", "Unchanged"]),
    changeId: z.string(),
    partner: partnerNameSchema,
    /** The version that contains the change. */
    sequence: sequenceSchema,
    digest: digestSchema,
    /** True when this change id had already been accepted and this is the outcome of the first request. */
    repeated: z.boolean(),
});
export type ChangeOutcomeView = z.infer<typeof changeOutcomeSchema>;

/** Effect that a change would have if it were accepted now. */
export const validationViewSchema = z.object({
    partner: partnerNameSchema,
    /** The accepted version against which the change was validated. */
    baseSequence: sequenceSchema,
    /** Cells that would change. Cells that already have the requested value are omitted. */
    changes: z.array(cellChangeSchema),
});
export type ValidationView = z.infer<typeof validationViewSchema>;

/** Field with the value of `before` for the request of the next page. It is absent on the last page. */
const nextPageFields = { before: sequenceSchema.optional() };

/** Accepted version with the cells that it changed. */
const historyEntrySchema = z.object({
    sequence: sequenceSchema,
    digest: digestSchema,
    changes: z.array(cellChangeSchema),
});
/** Page of versions from newest to oldest. */
export const historyViewSchema = z.object({
    partner: partnerNameSchema,
    entries: z.array(historyEntrySchema),
    ...nextPageFields,
});
export type HistoryView = z.infer<typeof historyViewSchema>;

/** Entry of the audit trail: an accepted change with its operator and time. */
const auditEntrySchema = z.object({
    sequence: sequenceSchema,
    /** Wall-clock time at which the change was accepted, in milliseconds since the Unix epoch. */
    at: z.number(),
    operator: z.string(),
    changeId: z.string(),
    changes: z.array(cellChangeSchema),
});
/** Page of the audit trail from newest to oldest. */
export const auditViewSchema = z.object({
    partner: partnerNameSchema,
    entries: z.array(auditEntrySchema),
    ...nextPageFields,
});
export type AuditView = z.infer<typeof auditViewSchema>;

/** Zone whose nodes could not be queried, with the reason. */
const unknownZoneSchema = z.object({ zone: zoneNameSchema, detail: z.string() });
export type UnknownZone = z.infer<typeof unknownZoneSchema>;

/** Version of one partner that is in force at a node. */
const partnerSequenceSchema = z.object({
    partner: partnerNameSchema,
    sequence: sequenceSchema,
    /** Number of versions that the node is behind the newest known version. */
    lag: z.number().int().nonnegative(),
});

/** Versions that a node has applied, or the reason why they could not be determined. */
const appliedViewSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("Known"), versions: z.array(partnerSequenceSchema) }),
    z.object({ kind: z.literal("Unknown"), detail: z.string() }),
]);
export type AppliedView = z.infer<typeof appliedViewSchema>;

/** Node with the versions that are in force there. */
const nodeVersionSchema = z.object({
    nodeId: nodeIdSchema,
    zone: zoneNameSchema,
    state: memberStateSchema,
    applied: appliedViewSchema,
});
export type NodeVersion = z.infer<typeof nodeVersionSchema>;

/** Versions that are in force in the whole fleet. */
export const versionsViewSchema = z.object({
    /** Partner of the operator who sent the request. */
    partner: partnerNameSchema,
    /** Newest known version of each partner. */
    newest: z.array(z.object({ partner: partnerNameSchema, sequence: sequenceSchema })),
    /** Whether the accepted versions were read from the platform for this response. */
    confirmedByPlatform: z.boolean(),
    nodes: z.array(nodeVersionSchema),
    unknownZones: z.array(unknownZoneSchema),
});
export type VersionsView = z.infer<typeof versionsViewSchema>;

/** Node as shown to operators. */
const memberViewSchema = z.object({
    nodeId: nodeIdSchema,
    zone: zoneNameSchema,
    address: addressSchema,
    controlPort: portSchema,
    state: memberStateSchema,
    /** Partner that owns the node's target; absent when the node has no target. */
    targetPartner: partnerNameSchema.optional(),
    /** Service of the target. Only operators of the owning partner receive it. */
    targetService: serviceNameSchema.optional(),
});
export type MemberView = z.infer<typeof memberViewSchema>;
/** All nodes that are known. Nodes of unknown zones are missing. */
export const membersViewSchema = z.object({
    members: z.array(memberViewSchema),
    unknownZones: z.array(unknownZoneSchema),
});
export type MembersView = z.infer<typeof membersViewSchema>;

/** Target that the operator's partner owns. */
const targetViewSchema = z.object({
    nodeId: nodeIdSchema,
    zone: zoneNameSchema,
    service: serviceNameSchema,
    slots: z.number().int(),
    leaving: z.boolean(),
    /** Wall-clock time at which the target was first announced, in milliseconds since the Unix epoch. */
    since: z.number(),
    state: memberStateSchema,
});
export type TargetView = z.infer<typeof targetViewSchema>;
/** All known targets that the operator's partner owns. Targets in unknown zones are missing. */
export const targetsViewSchema = z.object({
    partner: partnerNameSchema,
    targets: z.array(targetViewSchema),
    unknownZones: z.array(unknownZoneSchema),
});
export type TargetsView = z.infer<typeof targetsViewSchema>;

/** Target that is being drained. */
export const drainViewSchema = z.object({ nodeId: nodeIdSchema, service: serviceNameSchema });
export type DrainView = z.infer<typeof drainViewSchema>;

/** Roll-out of a service of the operator's partner. */
const rolloutViewSchema = z.object({
    id: z.string(),
    service: serviceNameSchema,
    version: z.string(),
    state: rolloutStateSchema,
    reason: z.string(),
    /** Time since the order, and from the order to the deadline, in milliseconds. */
    ageMs: z.number(),
    durationMs: z.number(),
    /** Number of requests of the new version and of the others, as far as this node knows. */
    newRequests: z.number(),
    otherRequests: z.number(),
});
export type RolloutView = z.infer<typeof rolloutViewSchema>;
/** Latest roll-out of each service of the operator's partner. */
export const rolloutsViewSchema = z.object({ partner: partnerNameSchema, rollouts: z.array(rolloutViewSchema) });
export type RolloutsView = z.infer<typeof rolloutsViewSchema>;
