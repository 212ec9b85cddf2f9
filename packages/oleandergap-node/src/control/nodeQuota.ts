/** Wires the quotas of a node: the members of its zone, the tables in force, and its datagrams. */
import { createFleetQuota, type FleetQuota, type QuotaMessage, type QuotaNetwork } from "oleandergap-customers";
import type { ConfigurationStore } from "oleandergap-configuration";
import type { Membership, MessageTransport } from "oleandergap-membership";
import type { Clock, Member, Milliseconds } from "oleandergap-types";
import type { Random } from "oleandergap-utils";
import type { NodeOptions } from "../options.js";

/** Time after which a node that has met no other node treats itself as the only one. */
const ALONE_AFTER_MS: Milliseconds = 30_000;

export interface NodeQuotaDependencies {
    readonly options: Pick<NodeOptions, "quotas" | "zone" | "membership" | "listen">;
    /** Unique for each start of the process. */
    readonly bootId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly signal: AbortSignal;
    readonly self: Pick<Member, "id" | "zone" | "address" | "controlPort" | "linkClass">;
    readonly membership: Pick<Membership, "members" | "zones" | "contactsOf" | "stats">;
    readonly store: Pick<ConfigurationStore, "getTables">;
    readonly transport: MessageTransport<QuotaMessage>;
}

/** Returns whether a datagram of another node, of any zone, has arrived. */
const hasReceivedDatagrams = ({ stats }: Pick<Membership, "stats">): boolean => {
    const { traffic, dropped } = stats();
    const received = Object.values(traffic).reduce((sum, { receivedDatagrams }) => sum + receivedDatagrams, 0);
    // A node that is its own seed receives its own datagrams.
    return received > dropped.OwnEcho;
};

/**
 * Creates the check whether this node has met nodes that divide the quotas with it. A node that has started while it is
 * cut off meets no other node, and must not treat the quotas as its own.
 */
const createCompanyCheck = ({ options, clock, self, membership }: NodeQuotaDependencies): (() => boolean) => {
    const startedAt = clock.monotonic();
    const expectsOthers = options.membership.seeds
        .some(({ address, port }) => address !== options.listen.address || port !== options.listen.controlPort);
    return () => !expectsOthers ||
        membership.members().some(({ id }) => id !== self.id) ||
        hasReceivedDatagrams(membership) ||
        clock.monotonic() - startedAt > ALONE_AFTER_MS;
};

/** Creates the network of the quotas. The zones of the tables divide quotas whether or not they are reachable. */
const createQuotaNetwork = (dependencies: NodeQuotaDependencies): QuotaNetwork => {
    const { options, self, membership, store, transport } = dependencies;
    const hasCompany = createCompanyCheck(dependencies);
    return {
        self,
        members: membership.members,
        otherZones: () => membership.zones().map((zone) => ({ zone, contacts: membership.contactsOf(zone) })),
        countZones: () => new Set([
            options.zone,
            ...membership.zones(),
            ...[...store.getTables().values()].flatMap(({ zones }) => [...zones]),
        ]).size,
        isInformed: () => store.getTables().size > 0 && hasCompany(),
        send: transport.send,
    };
};

/** Creates the quotas of a node and connects them to their datagrams. */
export const createNodeQuota = (dependencies: NodeQuotaDependencies): FleetQuota => {
    const { options, bootId, clock, random, store, transport, signal } = dependencies;
    const quota = createFleetQuota({
        clock,
        random,
        bootId,
        options: options.quotas,
        network: createQuotaNetwork(dependencies),
        findQuota: ({ partner, customer }) => store.getTables().get(partner)?.customers?.byName.get(customer)?.quota,
        signal,
    });
    transport.onMessage(quota.receive);
    return quota;
};
