/** Generates idempotency keys for simulated callers. */
import type { Milliseconds } from "oleandergap-types";
import { pickIndex, type Random } from "oleandergap-utils";

const TIME_DIGITS = 12;
const HEXADECIMAL = 16;

/** Returns a UUIDv7 with `time` as its timestamp. */
export const generateKey = (time: Milliseconds, random: Random): string => {
    const timeDigits = Math.max(0, Math.floor(time)).toString(HEXADECIMAL).padStart(TIME_DIGITS, "0");
    const drawDigits = (digits: number): string =>
        pickIndex(random, HEXADECIMAL ** digits).toString(HEXADECIMAL).padStart(digits, "0");
    return `${timeDigits.slice(0, 8)}-${timeDigits.slice(8)}-7${drawDigits(3)}-8${drawDigits(3)}-${drawDigits(6)}${drawDigits(6)}`;
};
