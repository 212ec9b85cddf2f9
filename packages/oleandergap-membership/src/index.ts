/** Membership of nodes and targets: failure detection, gossip and target directories of the availability zones. */
export { MAX_DATAGRAM_BYTES } from "./datagramCodec.js";
export { packText, unpackText } from "./datagramText.js";
export * from "./fleetKey.js";
export * from "./membership.js";
export * from "./membershipTypes.js";
export * from "./messageTransport.js";
export * from "./options.js";
export { formatRosterKey } from "./roster.js";
export * from "./sealedTransport.js";
export type { DropReason, KindTraffic, MembershipEvent, MembershipStats } from "./statistics.js";
export * from "./targetDirectory.js";
export * from "./targetDirectoryTypes.js";
export * from "./transport.js";
export * from "./udpTransport.js";
export type { ReceiveZoneDigest, ZoneDigest } from "./zoneDigests.js";
