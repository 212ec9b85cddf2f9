/** Replies to contact probes of remote availability zones and processes the replies to probes of this node. */
import type { Member } from "oleandergap-types";
import { pickSeveral, type Random } from "oleandergap-utils";
import type { ContactBook } from "./contactBook.js";
import type { MemberTable } from "./memberTable.js";
import type { Datagram, MessageBody } from "./messages.js";
import type { PiggybackedData, Messenger } from "./messenger.js";
import type { Endpoint } from "./transport.js";
import type { ZoneDigests } from "./zoneDigests.js";

/** Number of local members that are suggested as contacts to a node of a remote zone. */
const MAX_SUGGESTED_CONTACTS = 3;

type ContactProbe = Extract<MessageBody, { kind: "ContactProbe" }>;
type ContactReply = Extract<MessageBody, { kind: "ContactReply" }>;

/** Handlers of contact messages. `from` is the source endpoint reported by the transport. */
export interface ContactMessages {
    readonly replyToProbe: (probe: ContactProbe, datagram: Datagram, from: Endpoint) => void;
    readonly receiveReply: (reply: ContactReply, datagram: Datagram, from: Endpoint) => void;
}

export interface ContactMessagesDependencies {
    readonly self: () => Member;
    readonly random: Random;
    readonly table: MemberTable;
    readonly messenger: Messenger;
    readonly contacts: ContactBook;
    readonly zoneDigests: ZoneDigests;
    readonly selectReplyHeads: (datagram: Datagram) => Pick<PiggybackedData, "heads">;
    readonly sendNewerHeads: (datagram: Datagram, from: Endpoint) => void;
}

export const createContactMessages = (dependencies: ContactMessagesDependencies): ContactMessages => {
    const { self, random, table, messenger, contacts, zoneDigests, selectReplyHeads, sendNewerHeads } = dependencies;
    return {
        replyToProbe: ({ sequence, needsContacts }, datagram, from) => {
            const candidates = table.listActive().filter((member) => member.state === "alive");
            const records = needsContacts ? pickSeveral(random, candidates, MAX_SUGGESTED_CONTACTS) : [];
            const targetsDigest = zoneDigests.getLocal();
            const body = { kind: "ContactReply", sequence } as const;
            messenger.send(
                from,
                targetsDigest === undefined ? body : { ...body, targetsDigest },
                { records, ...selectReplyHeads(datagram) },
            );
        },
        receiveReply: ({ sequence, targetsDigest }, datagram, from) => {
            contacts.addCandidates(datagram.records);
            sendNewerHeads(datagram, from);
            if (targetsDigest !== undefined && datagram.zone !== self().zone) {
                zoneDigests.receive({ zone: datagram.zone, sequence, digest: targetsDigest });
            }
        },
    };
};
