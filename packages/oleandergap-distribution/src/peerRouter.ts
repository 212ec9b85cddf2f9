/**
 * RPC procedures that a node offers to its peers. All are queries: a peer can read this node's state but not change it.
 */
import { initTRPC, TRPCError } from "@trpc/server";
import {
    zoneTargetsRequestSchema,
    type TargetDirectory,
    type ZoneTargetsResponse,
} from "oleandergap-membership";
import type { PartnerDocument, PartnerName } from "oleandergap-types";
import { pickSeveral, type Random } from "oleandergap-utils";
import {
    deltasQuerySchema,
    documentQuerySchema,
    MAX_CONTACTS,
    MAX_DELTAS_PER_RESPONSE,
    type ContactsResponse,
    type HeadsResponse,
    type PingResponse,
    type VersionResponse,
} from "./peerSchemas.js";
import type { ConfigurationStorePort, FleetPort, PeerAddress } from "./ports.js";

/** The state of the node that the router reads. */
export interface PeerRouterDependencies {
    readonly store: Pick<ConfigurationStorePort, "heads" | "document" | "deltasSince">;
    readonly fleet: FleetPort;
    readonly directory: Pick<TargetDirectory, "answerZoneTargets">;
    readonly random: Random;
    /** Returns whether this node has recovered. */
    readonly isReady: () => boolean;
    /** Returns the time in milliseconds since the last known response of the platform; undefined if there was none. */
    readonly platformAge: () => number | undefined;
}

/** Number of members of the local availability zone in a response of `contacts`. */
const LOCAL_ZONE_CONTACTS = 16;

const toContact = ({ id, zone, address, controlPort }: PeerAddress): PeerAddress => ({
    id,
    zone,
    address,
    controlPort,
});

const createContactsResponse = ({ fleet, random }: PeerRouterDependencies): ContactsResponse => {
    const localZone = pickSeveral(random, fleet.members(), LOCAL_ZONE_CONTACTS);
    const otherZones = pickSeveral(random, fleet.contacts(), MAX_CONTACTS - localZone.length);
    return { contacts: [...localZone, ...otherZones].map(toContact) };
};

const createVersionResponse = (
    store: PeerRouterDependencies["store"],
    partner: PartnerName,
    sequence: number,
): VersionResponse => {
    const deltas = store.deltasSince(partner, sequence);
    const hasNothingNewer = store.document(partner).sequence <= sequence;
    if (hasNothingNewer) {
        return { kind: "Deltas", deltas: [] };
    }
    return deltas === undefined || deltas.length === 0 || deltas.length > MAX_DELTAS_PER_RESPONSE ?
        { kind: "Document", document: store.document(partner) } :
        { kind: "Deltas", deltas: [...deltas] };
};

const requirePartner = (store: PeerRouterDependencies["store"], partner: PartnerName): void => {
    if (!store.heads().some((head) => head.partner === partner)) {
        throw new TRPCError({ code: "NOT_FOUND", message: `no partner named ${partner}` });
    }
};

const builder = initTRPC.context<PeerRouterDependencies>().create({
    // The default error shape of the library contains a stack trace, which must not be sent to peers.
    errorFormatter: ({ shape }) => ({
        code: shape.code,
        message: shape.message,
        data: { code: shape.data.code, httpStatus: shape.data.httpStatus },
    }),
});

/** The procedures. The context is the state of the responding node; see `createPeerRequestHandler`. */
export const peerRouter = builder.router({
    ping: builder.procedure.query(({ ctx }): PingResponse => {
        const age = ctx.platformAge();
        return { id: ctx.fleet.self().id, ready: ctx.isReady(), ...(age === undefined ? {} : { platformAgeMs: age }) };
    }),
    heads: builder.procedure.query(({ ctx }): HeadsResponse => ({
        ready: ctx.isReady(),
        heads: [...ctx.store.heads()],
    })),
    deltasSince: builder.procedure.input(deltasQuerySchema).query(({ ctx, input }): VersionResponse => {
        requirePartner(ctx.store, input.partner);
        return createVersionResponse(ctx.store, input.partner, input.sequence);
    }),
    document: builder.procedure.input(documentQuerySchema).query(({ ctx, input }): PartnerDocument => {
        requirePartner(ctx.store, input.partner);
        return ctx.store.document(input.partner);
    }),
    zoneTargets: builder.procedure.input(zoneTargetsRequestSchema).query(({ ctx, input }): ZoneTargetsResponse =>
        ctx.directory.answerZoneTargets(input)),
    contacts: builder.procedure.query(({ ctx }): ContactsResponse => createContactsResponse(ctx)),
});

/** Type of the router, against which calls of the client are type-checked. */
export type PeerRouter = typeof peerRouter;
