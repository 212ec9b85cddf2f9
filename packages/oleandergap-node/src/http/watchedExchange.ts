/**
 * An exchange under a deadline, a cancel signal and a limit on silence.
 *
 * A connection that something between the two ends has forgotten swallows the request: no error ever comes, and one
 * would see requests run into their deadlines although the target is well. After a silence, an idempotent request is
 * therefore tried once more over a new connection to the same target, and only a second silence is the target's fault.
 * If the target was silent to others already, there is no second try, which would hold the request up for nothing.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds, RequestFailure } from "oleandergap-types";
import type { Dispatcher } from "undici";
import { discardBody, type Answer } from "./answer.js";
import { startExchange, type Exchange } from "./exchange.js";
import { startProgressWatch, type ProgressWatch } from "./progressWatch.js";
import { canSendAgain, type RequestBody } from "./requestBody.js";

export interface WatchedRequest {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly body: RequestBody;
    /** See `ExchangeRequest`. */
    readonly requireId: boolean;
    readonly awaitAdmission: boolean;
    readonly bodySilenceMs: Milliseconds;
    /** Connections to the target, for the first and for the second try. */
    readonly takeDispatcher: () => Dispatcher;
    /** Makes later requests use new connections. */
    readonly renewConnections: () => void;
    /** The headers, with the id of one try. */
    readonly headersOf: (requestId: string) => string[];
    readonly nextRequestId: () => string;
    /** See `ExchangeRequest`. */
    readonly answerIdHeader: string;
    /** The id that the answer to a try has to carry; undefined when any will do. */
    readonly answerIdOf: (requestId: string) => string | undefined;
    /** The failure that an answer stands for, such as a refusal; undefined when it is the answer to the request. */
    readonly readFailure: (answer: Answer) => RequestFailure | undefined;
    /** Monotonic time at which the request is given up unless an answer has begun. */
    readonly deadline: Milliseconds;
    readonly signal: AbortSignal;
    /** Longest time without any sign from the other side; undefined when the deadline alone counts. */
    readonly silenceMs: Milliseconds | undefined;
    readonly idempotent: boolean;
    /** A sign of life came. */
    readonly onSign?: () => void;
    /** Told each silence at once; true if another try at the same target is pointless. */
    readonly onSilence?: (silence: Silence) => boolean;
}

/** What is known when the other side has given no sign for too long. */
export interface Silence {
    /** Signs that came before, in this try. */
    readonly signs: number;
    /** See `ProgressWatchOptions.onSilence`. */
    readonly lateMs: Milliseconds;
}

type Outcome = Either<RequestFailure, Answer>;

type Ending = "Open" | "DeadlinePassed" | "Cancelled" | "Silent";

interface Try {
    readonly outcome: Outcome;
    readonly ending: Ending;
    /** The target was known to be silent already, so that the connection is not at fault. */
    readonly isPointless: boolean;
}

const DETAILS: Readonly<Record<Exclude<Ending, "Open">, string>> = {
    DeadlinePassed: "the deadline passed",
    Cancelled: "the caller went away",
    Silent: "the connection was silent",
};

/** A request that was taken back before it was sent says why it was. */
const nameReason = (outcome: Outcome, ending: Ending): Outcome => {
    const isUnsent = either.isLeft(outcome) && outcome.left.kind === "Refused";
    return isUnsent && ending === "DeadlinePassed" ?
        either.left({ kind: "Refused", verdict: "notRun", reason: "DeadlinePassed", retryAfterMs: 0 }) :
        outcome;
};

const tryOnce = async (clock: Clock, request: WatchedRequest, endsAtSilence: boolean): Promise<Try> => {
    const { signal } = request;
    let ending: Ending = "Open";
    let isPointless = false;
    let signs = 0;

    const end = (reason: Exclude<Ending, "Open">): void => {
        if (ending === "Open") {
            ending = reason;
            exchange.abort(DETAILS[reason]);
        }
    };
    const onAbort = (): void => end("Cancelled");
    const onSilence = (lateMs: Milliseconds): void => {
        request.renewConnections();
        isPointless = request.onSilence?.({ signs, lateMs }) ?? false;
        if (endsAtSilence) {
            end("Silent");
        }
    };

    const watch: ProgressWatch = startProgressWatch({
        clock,
        deadline: request.deadline,
        silenceMs: request.silenceMs,
        onDeadline: () => end("DeadlinePassed"),
        onSilence,
    });
    const requestId = request.nextRequestId();
    const exchange: Exchange = startExchange({
        dispatcher: request.takeDispatcher(),
        method: request.method,
        path: request.path,
        headers: request.headersOf(requestId),
        body: request.body,
        answerIdHeader: request.answerIdHeader,
        answerId: request.answerIdOf(requestId),
        requireId: request.requireId,
        awaitAdmission: request.awaitAdmission,
        bodySilenceMs: request.bodySilenceMs,
        onInformation: () => {
            watch.heard();
            signs += 1;
            request.onSign?.();
        },
    });
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) {
        onAbort();
    }

    const outcome = await exchange.outcome;
    watch.stop();
    signal.removeEventListener("abort", onAbort);
    return { outcome: nameReason(outcome, ending), ending, isPointless };
};

/** A refusal of the other side comes as an answer; taken for one, it would promise too much of an earlier try. */
const isSurelyNotRun = (outcome: Outcome, { readFailure }: WatchedRequest): boolean => {
    const failure = either.isLeft(outcome) ? outcome.left : readFailure(outcome.right);
    return failure?.verdict === "notRun";
};

/** Sends `request`; twice at most, and only if it is idempotent. Never rejects. */
export const sendWatched = async (clock: Clock, request: WatchedRequest): Promise<Outcome> => {
    // A request that must not run twice waits for its deadline: nobody can tell whether it arrived.
    const first = await tryOnce(clock, request, request.idempotent);
    if (first.ending !== "Silent" || first.isPointless || !canSendAgain(request.body)) {
        return first.outcome;
    }
    const second = await tryOnce(clock, request, true);
    // The first try may still run, whatever became of the second one: a refusal of that alone promises too much.
    if (!isSurelyNotRun(second.outcome, request)) {
        return second.outcome;
    }
    if (either.isRight(second.outcome)) {
        discardBody(second.outcome.right);
    }
    return first.outcome;
};
