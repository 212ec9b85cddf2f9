/**
 * Text in datagrams, compressed where that saves much.
 *
 * The cells of a version repeat names and addresses, so that a change of a few routes shrinks to a part of its text.
 * What fits into a datagram needs no connection at any receiver; fetched over a link that is full of requests, even
 * a small step would be late there.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Shorter texts are sent as they are: there is little to save. */
const MIN_COMPRESSION_BYTES = 400;
/** Longest text that is unpacked; a datagram that claims more is damaged or made up. */
const MAX_TEXT_BYTES = 64 * 1024;
/** First byte of compressed text. All texts are JSON objects, which begin with a brace. */
const COMPRESSED_MARKER = 1;

/** The bytes that stand for `text`. */
export const packText = (text: string): Uint8Array => {
    const plain = Buffer.from(text, "utf8");
    return plain.length < MIN_COMPRESSION_BYTES ?
        plain :
        Buffer.concat([Buffer.of(COMPRESSED_MARKER), deflateRawSync(plain)]);
};

/** The text that `bytes` stand for; undefined when they are damaged. */
export const unpackText = (bytes: Uint8Array): string | undefined => {
    if (bytes[0] !== COMPRESSED_MARKER) {
        return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString("utf8");
    }
    try {
        return inflateRawSync(bytes.subarray(1), { maxOutputLength: MAX_TEXT_BYTES }).toString("utf8");
    }
    catch {
        // The receiver counts it among the datagrams that it drops.
        return undefined;
    }
};
