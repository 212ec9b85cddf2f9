/**
 * Rendezvous (highest random weight) hashing: ranks candidates for a key so that every node computes the same order
 * without communication, and a candidate that joins or leaves changes the assignment of its own share of keys only.
 */
import { xxHash32 } from "js-xxhash";

const SEED = 0;

/** Returns a 32-bit hash of a text, which is the same on every machine. */
export const hashText = (text: string): number => xxHash32(text, SEED);

interface ScoredCandidate<Candidate> {
    readonly candidate: Candidate;
    readonly name: string;
    readonly score: number;
}

const compareScored = <Candidate>(left: ScoredCandidate<Candidate>, right: ScoredCandidate<Candidate>): number => {
    if (left.score !== right.score) {
        return right.score - left.score;
    }
    return left.name < right.name ? -1 : 1;
};

/** Returns the candidates in order of rank for `key`; `getName` must return a different name for each of them. */
export const rankByRendezvous = <Candidate>(
    key: string,
    candidates: readonly Candidate[],
    getName: (candidate: Candidate) => string,
): readonly Candidate[] =>
    candidates
        .map((candidate) => {
            const name = getName(candidate);
            return { candidate, name, score: hashText(`${key}\n${name}`) };
        })
        .sort(compareScored)
        .map((scored) => scored.candidate);
