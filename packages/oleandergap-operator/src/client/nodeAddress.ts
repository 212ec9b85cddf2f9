/** Addresses at which nodes accept operators' requests. */

/** Address of a VM and control port of the node on this VM. */
export interface NodeAddress {
    readonly address: string;
    readonly port: number;
}

/** Formats `address:port`, with brackets around an IPv6 address. */
export const formatNodeAddress = ({ address, port }: NodeAddress): string =>
    address.includes(":") ? `[${address}]:${port}` : `${address}:${port}`;
