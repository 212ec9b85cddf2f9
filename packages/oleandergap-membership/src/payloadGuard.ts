/**
 * Validates the framing of a MessagePack payload before it is decoded.
 *
 * The decoder allocates an array of the declared length before it reads any element. With msgpackr 1.12, six bytes that
 * declare 30 million elements block a node for a quarter of a second, and a datagram of nested declarations exhausts
 * the heap and terminates the process. Therefore a container must not declare more elements than there are bytes left,
 * and only the few types that the codec writes are allowed.
 */

const NIL = 0xc0;
const FALSE = 0xc2;
const TRUE = 0xc3;
const MAX_POSITIVE_FIXINT = 0x7f;
const FIXARRAY = 0x90;
const FIXSTR = 0xa0;
const MAX_FIXSTR = 0xbf;
const FIXARRAY_LENGTH_MASK = 0x0f;
const FIXSTR_LENGTH_MASK = 0x1f;
const ARRAY_16 = 0xdc;

/** Sizes in bytes of fixed-size values, without the type byte. */
const numberSizes: ReadonlyMap<number, number> = new Map([
    [0xca, 4],
    [0xcb, 8],
    [0xcc, 1],
    [0xcd, 2],
    [0xce, 4],
    [0xcf, 8],
]);

/** Sizes in bytes of the length field of texts and binary data. */
const lengthSizes: ReadonlyMap<number, number> = new Map([
    [0xc4, 1],
    [0xc5, 2],
    [0xd9, 1],
    [0xda, 2],
]);

/** Size and number of elements of one value. */
interface ValueHeader {
    /** Size of the value in bytes, without its elements. */
    readonly size: number;
    /** Number of elements that follow the value. */
    readonly elements: number;
}

const readLength = (payload: Uint8Array, offset: number, size: number): number => {
    const high = payload[offset] ?? 0;
    return size === 1 ? high : high * 256 + (payload[offset + 1] ?? 0);
};

const readHeader = (payload: Uint8Array, offset: number): ValueHeader | undefined => {
    const type = payload[offset] ?? 0;
    if (type <= MAX_POSITIVE_FIXINT || type === NIL || type === FALSE || type === TRUE) {
        return { size: 1, elements: 0 };
    }
    if (type >= FIXSTR && type <= MAX_FIXSTR) {
        return { size: 1 + (type & FIXSTR_LENGTH_MASK), elements: 0 };
    }
    if (type >= FIXARRAY && type < FIXSTR) {
        return { size: 1, elements: type & FIXARRAY_LENGTH_MASK };
    }
    if (type === ARRAY_16) {
        return { size: 3, elements: readLength(payload, offset + 1, 2) };
    }
    const numberSize = numberSizes.get(type);
    if (numberSize !== undefined) {
        return { size: 1 + numberSize, elements: 0 };
    }
    const lengthSize = lengthSizes.get(type);
    return lengthSize === undefined ?
        undefined :
        { size: 1 + lengthSize + readLength(payload, offset + 1, lengthSize), elements: 0 };
};

/**
 * Returns whether `payload` consists of exactly one value of the allowed types whose declared lengths fit into the
 * payload.
 */
export const isSafePayload = (payload: Uint8Array): boolean => {
    let offset = 0;
    let remainingValues = 1;
    while (remainingValues > 0 && offset < payload.length) {
        const header = readHeader(payload, offset);
        if (header === undefined) {
            return false;
        }
        offset += header.size;
        remainingValues += header.elements - 1;
        if (remainingValues > payload.length - offset) {
            return false;
        }
    }
    return remainingValues === 0 && offset === payload.length;
};
