/**
 * Checks the framing of a MessagePack payload before it is decoded.
 *
 * The decoder allocates an array for the length that the payload announces before it reads any element. Six bytes that
 * announce 30 million elements stall a node for a quarter of a second, and a datagram of nested announcements exhausts
 * the heap and ends the process (both seen with msgpackr 1.12). So no container may announce more elements than bytes
 * follow, and only the few types that the codec writes are let through.
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

/** Fixed sizes after the type byte. */
const numberSizes: ReadonlyMap<number, number> = new Map([
    [0xca, 4],
    [0xcb, 8],
    [0xcc, 1],
    [0xcd, 2],
    [0xce, 4],
    [0xcf, 8],
]);

/** Types whose length follows in one or two bytes: texts and binary data. */
const lengthSizes: ReadonlyMap<number, number> = new Map([
    [0xc4, 1],
    [0xc5, 2],
    [0xd9, 1],
    [0xda, 2],
]);

/** One value's type and length. */
interface ValueHeader {
    /** Bytes that the value takes without its elements. */
    readonly size: number;
    /** Elements that follow it. */
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

/** Whether `payload` is exactly one value made of the allowed types, with lengths that its bytes can hold. */
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
