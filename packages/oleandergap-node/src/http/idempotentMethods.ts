/** Methods that are defined as idempotent (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Returns whether a method is idempotent. Unknown methods are treated as non-idempotent. */
export const isIdempotentMethod = (method: string): boolean => IDEMPOTENT_METHODS.has(method);
