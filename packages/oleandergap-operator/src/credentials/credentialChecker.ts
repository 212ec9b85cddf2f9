/**
 * Looks up the identity that belongs to a credential.
 *
 * A rejection takes one read from the platform whether the credential is missing, malformed, unknown or revoked, so
 * that neither the response nor its latency reveals the reason. A recently confirmed credential is accepted without a
 * read. While the platform is unavailable, a confirmed credential remains accepted for reads up to the grace time. A
 * change always requires a new read, so that a revoked credential cannot change anything once its row has been deleted.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, PlatformError, TableRow, TableService } from "oleandergap-types";
import { formatOperatorKey, hashCredential, isWellFormedCredential } from "./credential.js";
import { createCredentialCache, type ConfirmedCredential } from "./credentialCache.js";
import { operatorIdentitySchema, type OperatorIdentity } from "./identity.js";
import { createKeyedRateLimiter } from "../keyedRateLimiter.js";
import type { OperatorError } from "../schemas/operatorError.js";
import { operatorOptionsSchema, type OperatorOptions } from "../options.js";
import { raceAbort, startTimeLimit } from "oleandergap-utils";

/** Maximum number of credentials that a node caches. */
const CACHE_CAPACITY = 256;
/** Maximum number of client addresses that the rate limiter tracks. */
const RATE_LIMITER_CAPACITY = 256;
/** Burst of checks allowed to a new client address, as the number of seconds at its rate. */
const BURST_SECONDS = 2;

/** Reason why no identity was found for a credential. */
export type CredentialError = Extract<
    OperatorError,
    { kind: "Unauthenticated" | "PlatformUnavailable" | "OverBudget" }
>;

/** Credential to check, with the client that presented it and the purpose. */
export interface CredentialQuery {
    /** The credential as received; empty when the request had none. */
    readonly credential: string;
    /** Address of the client. Checks of credentials that are not cached are rate-limited by it. */
    readonly clientAddress: string;
    /**
     * `change` requires a new confirmation. `read` accepts a cached one within `credentialFreshMs`, or within
     * `credentialGraceMs` during an outage.
     */
    readonly purpose: "read" | "change";
}

/** Checks credentials against the rows of the platform. */
export interface CredentialChecker {
    readonly check: (query: CredentialQuery, signal: AbortSignal) => TaskEither<CredentialError, OperatorIdentity>;
}

/** Dependencies of {@link createCredentialChecker}. */
export interface CredentialCheckerDependencies {
    readonly tableService: Pick<TableService, "read">;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly options?: OperatorOptions;
}

const unauthenticatedError: CredentialError = { kind: "Unauthenticated" };
const platformUnavailableError: CredentialError = {
    kind: "PlatformUnavailable",
    detail: "the credential cannot be checked now",
};

const toCredentialError = (error: PlatformError): CredentialError =>
    error.kind === "OverBudget" ? error : platformUnavailableError;

/** Creates the checker of one node. Its cache and rate limiter are kept in memory and lost when the process ends. */
export const createCredentialChecker = ({
    tableService, clock, logger, options = operatorOptionsSchema.parse({}),
}: CredentialCheckerDependencies): CredentialChecker => {
    const cache = createCredentialCache(CACHE_CAPACITY);
    const rateLimiter = createKeyedRateLimiter({
        clock,
        ratePerSecond: options.unknownCredentialsPerSecond,
        burst: Math.max(1, options.unknownCredentialsPerSecond * BURST_SECONDS),
        capacity: RATE_LIMITER_CAPACITY,
    });

    const readRow = async (key: string, signal: AbortSignal): Promise<Either<PlatformError, readonly TableRow[]>> => {
        const timeLimit = startTimeLimit(clock, options.credentialTimeoutMs, signal);
        const onAbort = (): Either<PlatformError, never> =>
            either.left({ kind: "Unavailable", detail: "no answer in time" });
        try {
            return await raceAbort(tableService.read([key], timeLimit.signal)(), timeLimit.signal, onAbort);
        }
        finally {
            timeLimit.cancel();
        }
    };

    const parseRow = (rows: readonly TableRow[], key: string): OperatorIdentity | undefined => {
        const row = rows.find((candidate) => candidate.key === key);
        if (row === undefined) {
            return undefined;
        }
        const identity = operatorIdentitySchema.safeParse(row.value);
        if (!identity.success) {
            logger.error("A credential row is malformed and is treated as unknown.");
        }
        return identity.data;
    };

    const getAge = (cached: ConfirmedCredential | undefined): number =>
        cached === undefined ? Number.POSITIVE_INFINITY : clock.monotonic() - cached.confirmedAt;

    const confirm = async (
        query: CredentialQuery,
        hash: string,
        signal: AbortSignal,
    ): Promise<Either<CredentialError, OperatorIdentity>> => {
        const key = formatOperatorKey(hash);
        const sentAt = clock.monotonic();
        const rows = await readRow(key, signal);
        const cached = cache.get(hash);
        if (either.isLeft(rows)) {
            const isWithinGraceTime = query.purpose === "read" && getAge(cached) <= options.credentialGraceMs;
            return cached !== undefined && isWithinGraceTime ?
                either.right(cached.identity) :
                either.left(toCredentialError(rows.left));
        }
        // The row of a malformed credential is read as well, so that its rejection takes equally long, but is not used.
        const identity = parseRow(rows.right, key);
        if (identity === undefined || !isWellFormedCredential(query.credential)) {
            cache.remove(hash);
            logger.warn("A credential was rejected.", { client: query.clientAddress });
            return either.left(unauthenticatedError);
        }
        cache.confirm(hash, { identity, confirmedAt: sentAt });
        return either.right(identity);
    };

    return {
        check: (query, signal) => async () => {
            const hash = hashCredential(query.credential);
            const cached = cache.get(hash);
            if (cached !== undefined && query.purpose === "read" && getAge(cached) < options.credentialFreshMs) {
                return either.right(cached.identity);
            }
            if (cached === undefined) {
                // Each guessed credential costs a read. Without a limit per client address, one client could exhaust
                // the capacity of the platform.
                const retryAfterMs = rateLimiter.acquire(query.clientAddress);
                if (retryAfterMs > 0) {
                    return either.left({ kind: "OverBudget", retryAfterMs });
                }
            }
            return confirm(query, hash, signal);
        },
    };
};
