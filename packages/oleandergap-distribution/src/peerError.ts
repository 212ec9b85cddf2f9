/** Reason why a call to another node returned no usable response. No data of a failed call is ever applied. */
export type PeerError =
    /** The connection failed or broke off, or the response did not arrive in time. */
    | { readonly kind: "Unreachable"; readonly detail: string }
    /** The peer responded with an error status. */
    | { readonly kind: "Refused"; readonly status: number; readonly detail: string }
    /** The response exceeded the size limit of this node. */
    | { readonly kind: "TooLarge"; readonly limitBytes: number }
    /** The response was not JSON or did not match the schema. */
    | { readonly kind: "Malformed"; readonly detail: string }
    /** The caller cancelled the call. */
    | { readonly kind: "Cancelled" };
