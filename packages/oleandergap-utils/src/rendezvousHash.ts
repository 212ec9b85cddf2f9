/**
 * Rendezvous (highest random weight) hashing: ranks candidates for a key so that every node computes the same order
 * without talking, and a candidate that joins or leaves moves only its own share.
 */
import { xxHash32 } from "js-xxhash";

const SEED = 0;

/** A 32-bit hash of a text; equal on every machine. */
export const hashText = (text: string): number => xxHash32(text, SEED);

interface Scored<Candidate> {
    readonly candidate: Candidate;
    readonly name: string;
    readonly score: number;
}

const compareScored = <Candidate>(left: Scored<Candidate>, right: Scored<Candidate>): number => {
    if (left.score !== right.score) {
        return right.score - left.score;
    }
    return left.name < right.name ? -1 : 1;
};

/** The candidates in order of rank for `key`; `nameOf` must be unique among them. */
export const rankByRendezvous = <Candidate>(
    key: string,
    candidates: readonly Candidate[],
    nameOf: (candidate: Candidate) => string,
): readonly Candidate[] =>
    candidates
        .map((candidate) => {
            const name = nameOf(candidate);
            return { candidate, name, score: hashText(`${key}\n${name}`) };
        })
        .sort(compareScored)
        .map((scored) => scored.candidate);
