/** Random number generators that are passed as arguments, so that tests can reproduce a run from its seed. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Milliseconds } from "oleandergap-types";
import { hashText } from "./rendezvousHash.js";

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const TWO_TO_THE_32 = 2 ** 32;

/** Creates a generator that returns the same numbers for the same seed. */
export const createSeededRandom = (seed: number): Random => {
    // Small seeds would give nearly equal first numbers; hashing distributes them over the whole state of the
    // generator.
    const generator = xoroshiro128plus(hashText(String(seed)));
    return () => (generator.next() >>> 0) / TWO_TO_THE_32;
};

/** Returns a random integer from 0 to `bound - 1`. */
export const pickIndex = (random: Random, bound: number): number => Math.floor(random() * bound);

/** Returns a random item of `items`, or undefined if `items` is empty. */
export const pickOne = <Item>(random: Random, items: readonly Item[]): Item | undefined =>
    items[pickIndex(random, items.length)];

/** Returns up to `count` different items in random order. */
export const pickSeveral = <Item>(random: Random, items: readonly Item[], count: number): readonly Item[] => {
    const remaining = [...items];
    const picked: Item[] = [];
    while (picked.length < count && remaining.length > 0) {
        picked.push(...remaining.splice(pickIndex(random, remaining.length), 1));
    }
    return picked;
};

/**
 * Returns a backoff delay with full jitter: uniformly distributed from 0 to a bound that grows exponentially.
 *
 * Without jitter, processes that failed together would retry together and overload the service that they wait for, with
 * request peaks at regular intervals. A uniform distribution over the whole interval spreads the retries.
 */
export const drawBackoff = (
    random: Random,
    attempt: number,
    base: Milliseconds,
    maximum: Milliseconds,
): Milliseconds => random() * Math.min(maximum, base * 2 ** attempt);
