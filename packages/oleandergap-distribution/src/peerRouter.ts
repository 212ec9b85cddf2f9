/** What a node answers to its peers. All procedures are queries: a peer can read this node's state, never change it. */
import { initTRPC, TRPCError } from "@trpc/server";
import {
    zoneTargetsRequestSchema,
    type TargetDirectory,
    type ZoneTargetsAnswer,
} from "oleandergap-membership";
import type { PartnerDocument, PartnerName } from "oleandergap-types";
import { pickSeveral, type Random } from "oleandergap-utils";
import {
    deltasQuerySchema,
    documentQuerySchema,
    MAX_CONTACTS,
    MAX_DELTAS_PER_ANSWER,
    type ContactsAnswer,
    type HeadsAnswer,
    type PingAnswer,
    type VersionAnswer,
} from "./peerSchemas.js";
import type { ConfigurationStorePort, FleetPort, PeerAddress } from "./ports.js";

/** What the router reads of its node. */
export interface PeerRouterDependencies {
    readonly store: Pick<ConfigurationStorePort, "heads" | "document" | "deltasSince">;
    readonly fleet: FleetPort;
    readonly directory: Pick<TargetDirectory, "answerZoneTargets">;
    readonly random: Random;
    /** Whether this node has recovered. */
    readonly isReady: () => boolean;
    /** Time in milliseconds since the platform was last heard from; undefined when never. */
    readonly platformAge: () => number | undefined;
}

/** Members of the own availability zone named in an answer to `contacts`. */
const OWN_ZONE_CONTACTS = 16;

const toContact = ({ id, zone, address, controlPort }: PeerAddress): PeerAddress => ({
    id,
    zone,
    address,
    controlPort,
});

const answerContacts = ({ fleet, random }: PeerRouterDependencies): ContactsAnswer => {
    const ownZone = pickSeveral(random, fleet.members(), OWN_ZONE_CONTACTS);
    const otherZones = pickSeveral(random, fleet.contacts(), MAX_CONTACTS - ownZone.length);
    return { contacts: [...ownZone, ...otherZones].map(toContact) };
};

const answerDeltas = (
    store: PeerRouterDependencies["store"],
    partner: PartnerName,
    sequence: number,
): VersionAnswer => {
    const deltas = store.deltasSince(partner, sequence);
    const hasNothingNewer = store.document(partner).sequence <= sequence;
    if (hasNothingNewer) {
        return { kind: "Deltas", deltas: [] };
    }
    return deltas === undefined || deltas.length === 0 || deltas.length > MAX_DELTAS_PER_ANSWER ?
        { kind: "Document", document: store.document(partner) } :
        { kind: "Deltas", deltas: [...deltas] };
};

const requirePartner = (store: PeerRouterDependencies["store"], partner: PartnerName): void => {
    if (!store.heads().some((head) => head.partner === partner)) {
        throw new TRPCError({ code: "NOT_FOUND", message: `no partner named ${partner}` });
    }
};

const builder = initTRPC.context<PeerRouterDependencies>().create({
    // The library's own shape carries a stack trace, which would go to any peer that asks badly.
    errorFormatter: ({ shape }) => ({
        code: shape.code,
        message: shape.message,
        data: { code: shape.data.code, httpStatus: shape.data.httpStatus },
    }),
});

/** The procedures; the node that answers is the context, see `createPeerRequestHandler`. */
export const peerRouter = builder.router({
    ping: builder.procedure.query(({ ctx }): PingAnswer => {
        const age = ctx.platformAge();
        return { id: ctx.fleet.self().id, ready: ctx.isReady(), ...(age === undefined ? {} : { platformAgeMs: age }) };
    }),
    heads: builder.procedure.query(({ ctx }): HeadsAnswer => ({
        ready: ctx.isReady(),
        heads: [...ctx.store.heads()],
    })),
    deltasSince: builder.procedure.input(deltasQuerySchema).query(({ ctx, input }): VersionAnswer => {
        requirePartner(ctx.store, input.partner);
        return answerDeltas(ctx.store, input.partner, input.sequence);
    }),
    document: builder.procedure.input(documentQuerySchema).query(({ ctx, input }): PartnerDocument => {
        requirePartner(ctx.store, input.partner);
        return ctx.store.document(input.partner);
    }),
    zoneTargets: builder.procedure.input(zoneTargetsRequestSchema).query(({ ctx, input }): ZoneTargetsAnswer =>
        ctx.directory.answerZoneTargets(input)),
    contacts: builder.procedure.query(({ ctx }): ContactsAnswer => answerContacts(ctx)),
});

/** The type that the client is checked against. */
export type PeerRouter = typeof peerRouter;
