/**
 * Lists the addresses adjacent to the address of this node, where other nodes may be found.
 *
 * A node that starts while the object store of the platform is unavailable cannot read a roster, and no other node has
 * its address. Unless a seed responds, the node stays isolated until the store is available again: the new VM never
 * becomes ready and its target receives no requests, possibly just when other VMs have left.
 */
import { isIPv4 } from "node:net";
import type { Endpoint } from "./transport.js";

const BITS_PER_OCTET = 8;
const OCTETS = 4;
const OCTET_MASK = 0xff;

/** Endpoint of this node. */
interface LocalEndpoint {
    readonly address: string;
    readonly controlPort: number;
}

const toNumber = (address: string): number =>
    address.split(".").reduce((number, octet) => number * (OCTET_MASK + 1) + Number(octet), 0);

const toAddress = (number: number): string => Array.from({ length: OCTETS }, (_, index) =>
    Math.floor(number / 2 ** (BITS_PER_OCTET * (OCTETS - 1 - index))) & OCTET_MASK).join(".");

/**
 * Returns up to `span` addresses on each side that differ from the local address only in the last octet. Returns an
 * empty list for IPv6 addresses.
 */
export const listNeighbours = ({ address, controlPort }: LocalEndpoint, span: number): readonly Endpoint[] => {
    if (span === 0 || !isIPv4(address)) {
        return [];
    }
    const localNumber = toNumber(address);
    const blockStart = localNumber - (localNumber & OCTET_MASK);
    const endpoints: Endpoint[] = [];
    for (let number = localNumber - span; number <= localNumber + span; number++) {
        const isInSameBlock = number > blockStart && number < blockStart + OCTET_MASK;
        if (number !== localNumber && isInSameBlock) {
            endpoints.push({ address: toAddress(number), port: controlPort });
        }
    }
    return endpoints;
};
