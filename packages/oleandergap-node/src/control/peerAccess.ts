/** Authentication between the nodes of a fleet: sealed datagrams, and bearer tokens on HTTP requests. */
import type { IncomingMessage } from "node:http";
import type { AuthorizeCall } from "oleandergap-distribution";
import {
    createPeerAuthorization,
    createSealedTransport,
    isPeerAuthorized,
    type DatagramTransport,
    type ReadFleetKeys,
    type SealStatistics,
} from "oleandergap-membership";
import type { NodeOptions } from "../options.js";

/** Counts since the start of the process. Byte counts include only the bytes that seals add to datagrams. */
export interface PeerAccessStatistics extends Pick<SealStatistics, "sealBytesSent" | "sealBytesReceived"> {
    readonly rejectedDatagrams: number;
    readonly refusedRequests: number;
}

export interface PeerAccess {
    /** Wraps the transport of this node's datagrams. */
    readonly seal: (transport: DatagramTransport) => DatagramTransport;
    /** Creates the authorization of a request to another node. */
    readonly authorize: AuthorizeCall;
    /** Returns whether a request to this node's control port is authenticated as coming from a node of the fleet. */
    readonly isNode: (request: Pick<IncomingMessage, "headers">) => boolean;
    readonly stats: () => PeerAccessStatistics;
}

export interface PeerAccessDependencies {
    readonly listen: Pick<NodeOptions["listen"], "address" | "controlPort">;
    readonly readKeys: ReadFleetKeys | undefined;
}

const unauthenticatedAccess: PeerAccess = {
    seal: (transport) => transport,
    authorize: () => undefined,
    isNode: () => true,
    stats: () => ({ sealBytesSent: 0, sealBytesReceived: 0, rejectedDatagrams: 0, refusedRequests: 0 }),
};

/** Creates the authentication for a node. Without keys, nothing is authenticated and no caller is refused. */
export const createPeerAccess = ({ listen, readKeys }: PeerAccessDependencies): PeerAccess => {
    if (readKeys === undefined) {
        return unauthenticatedAccess;
    }
    const self = { address: listen.address, port: listen.controlPort };
    let refusedRequests = 0;
    let readSealStatistics = (): SealStatistics => ({ sealBytesSent: 0, sealBytesReceived: 0, rejected: 0 });

    return {
        seal: (transport) => {
            const sealed = createSealedTransport({ transport, readKeys });
            readSealStatistics = sealed.stats;
            return sealed;
        },
        authorize: ({ address, controlPort }) => createPeerAuthorization(readKeys(), { address, port: controlPort }),
        isNode: ({ headers }) => {
            const isAuthorized = isPeerAuthorized(readKeys(), self, headers.authorization);
            refusedRequests += isAuthorized ? 0 : 1;
            return isAuthorized;
        },
        stats: () => {
            const { sealBytesSent, sealBytesReceived, rejected } = readSealStatistics();
            return { sealBytesSent, sealBytesReceived, rejectedDatagrams: rejected, refusedRequests };
        },
    };
};
