/**
 * The addresses beside the own one, where other nodes may be found.
 *
 * A node that starts while the platform's store is away has no roster, and no other node knows it. Unless a seed
 * answers, it stays alone until the store is back; one would see a new VM that is never ready and its target without
 * requests, just when others have left.
 */
import { isIPv4 } from "node:net";
import type { Endpoint } from "./transport.js";

const BITS_PER_OCTET = 8;
const OCTETS = 4;
const OCTET_MASK = 0xff;

/** Where a node can be asked. */
interface LocalEndpoint {
    readonly address: string;
    readonly controlPort: number;
}

const toNumber = (address: string): number =>
    address.split(".").reduce((number, part) => number * (OCTET_MASK + 1) + Number(part), 0);

const toAddress = (number: number): string => Array.from({ length: OCTETS }, (_, index) =>
    Math.floor(number / 2 ** (BITS_PER_OCTET * (OCTETS - 1 - index))) & OCTET_MASK).join(".");

/** Up to `span` addresses on each side that differ from the own one in the last part only; none for IPv6. */
export const listNeighbours = ({ address, controlPort }: LocalEndpoint, span: number): readonly Endpoint[] => {
    if (span === 0 || !isIPv4(address)) {
        return [];
    }
    const localNumber = toNumber(address);
    const first = localNumber - (localNumber & OCTET_MASK);
    const endpoints: Endpoint[] = [];
    for (let number = localNumber - span; number <= localNumber + span; number++) {
        const isInSameBlock = number > first && number < first + OCTET_MASK;
        if (number !== localNumber && isInSameBlock) {
            endpoints.push({ address: toAddress(number), port: controlPort });
        }
    }
    return endpoints;
};
