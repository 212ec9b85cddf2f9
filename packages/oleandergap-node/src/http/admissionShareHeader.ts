/** Formats and parses shares of requests as headers. An absent header means 1, as older builds send none. */

/** Number of decimals of a share. */
const SHARE_DECIMALS = 3;
const SHARE_PATTERN = /^0?\.\d{1,3}$/;
/** Lowest share that the headers can express. */
const MINIMUM_SHARE = 0.001;

/** Returns the value of the header, or undefined for a share of 1. */
export const formatShare = (share: number | undefined): string | undefined => {
    const text = Math.max(MINIMUM_SHARE, share ?? 1).toFixed(SHARE_DECIMALS);
    return SHARE_PATTERN.test(text) ? text : undefined;
};

/** Returns the parsed share, or 1 when the header is absent or malformed. */
export const parseShare = (text: string | undefined): number =>
    text !== undefined && SHARE_PATTERN.test(text) ? Math.max(MINIMUM_SHARE, Number(text)) : 1;
