/** Keys of customers and their digests. A key itself is only known to its callers and to whoever issues it. */
import { hash } from "node:crypto";
import type { KeyDigest } from "oleandergap-types";

/** Maximum length of a key in characters. */
const MAX_KEY_LENGTH = 512;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

/** Returns whether a text can be a key: visible ASCII, as it has to fit into a header. */
export const isCustomerKey = (text: string): boolean => text.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(text);

/** Returns the digest under which the table holds a key. */
export const digestCustomerKey = (key: string): KeyDigest => hash("sha256", key, "hex");
