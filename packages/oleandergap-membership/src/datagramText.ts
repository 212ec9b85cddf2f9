/**
 * Packs text for datagrams and compresses it if that saves a significant number of bytes.
 *
 * The cells of a version repeat names and addresses, so a change of a few routes compresses to a fraction of its text.
 * Text that fits into a datagram does not require the receivers to open connections. Fetching even a small change over
 * a link that is saturated with requests would be slow.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Texts shorter than this number of bytes are not compressed, because little would be saved. */
const MIN_COMPRESSION_BYTES = 400;
/** Largest size, in bytes, of a decompressed text. A datagram that exceeds it is corrupted or forged. */
const MAX_TEXT_BYTES = 64 * 1024;
/** First byte of compressed text. Uncompressed texts are JSON objects, which start with a brace. */
const COMPRESSED_MARKER = 1;

/** Returns the packed form of `text`. */
export const packText = (text: string): Uint8Array => {
    const plain = Buffer.from(text, "utf8");
    return plain.length < MIN_COMPRESSION_BYTES ?
        plain :
        Buffer.concat([Buffer.of(COMPRESSED_MARKER), deflateRawSync(plain)]);
};

/** Returns the text packed in `bytes`, or undefined if the bytes are corrupted. */
export const unpackText = (bytes: Uint8Array): string | undefined => {
    if (bytes[0] !== COMPRESSED_MARKER) {
        return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString("utf8");
    }
    try {
        return inflateRawSync(bytes.subarray(1), { maxOutputLength: MAX_TEXT_BYTES }).toString("utf8");
    }
    catch {
        // The caller counts the datagram as dropped.
        return undefined;
    }
};
