/** Characters of HTTP/1.1 messages (RFC 9110, section 5, and RFC 9112) that several files of this package check. */

/** Source of a pattern for a token: a method, the name of a header, or the name of a chunk extension. */
export const TOKEN = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+";
/** A whole text that is a token. */
export const TOKEN_PATTERN = new RegExp(`^${TOKEN}$`);
/** Value of a header, without surrounding spaces: visible characters, spaces and tabs. */
export const FIELD_VALUE_PATTERN = /^[\t\x20-\x7E\x80-\xFF]*$/;

/** Base of chunk sizes. */
export const HEXADECIMAL = 16;

export const LINE_FEED = 0x0A;
export const CARRIAGE_RETURN = 0x0D;

export const NO_BYTES = Buffer.alloc(0);
