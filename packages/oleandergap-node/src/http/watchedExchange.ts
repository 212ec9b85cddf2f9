/**
 * An exchange under a deadline, a cancel signal and a limit on silence.
 *
 * A connection that something between the two ends has forgotten swallows the request: no error ever comes, and one
 * would see requests run into their deadlines although the target is well. After a silence, an idempotent request is
 * therefore tried once more over a new connection to the same target, and only a second silence is the target's fault.
 * If the target was silent to others already, there is no second try, which would hold the request up for nothing.
 *
 * Both tries stay open meanwhile. Signs of life are late as well when the other process is behind with its events or a
 * link is full, while the target works on the request; closed at its first silence, either of them may be a run that is
 * cut, and its caller told of a loss. A connection counts as lost only after a longer time without any sign.
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
    /** Time without any sign after which the request is tried again; undefined when the deadline alone counts. */
    readonly silenceMs: Milliseconds | undefined;
    /** Time without any sign after which an idempotent try is given up; at least as long. */
    readonly lossMs: Milliseconds | undefined;
    readonly idempotent: boolean;
    /** A sign of life came. */
    readonly onSign?: () => void;
    /** Told each silence at once; true if another try at the same target is pointless. */
    readonly onSilence?: (silence: Silence) => boolean;
    /** Told when a try is given up for its silence. */
    readonly onLoss?: (silence: Silence) => void;
}

/** What is known when the other side has given no sign for too long. */
export interface Silence {
    /** The connection counts as lost, and the try is given up; if not, the try goes on. */
    readonly isLost: boolean;
    /** Time since the try was sent. */
    readonly sinceSentMs: Milliseconds;
    /** Signs that came before, in this try. */
    readonly signs: number;
    /** See `ProgressWatchOptions.onSilence`. */
    readonly lateMs: Milliseconds;
}

type Outcome = Either<RequestFailure, Answer>;

/** What goes on after a silence, until an answer comes or the connection counts as lost. */
export interface OpenTry {
    /** Never rejects. */
    readonly outcome: Promise<Outcome>;
    readonly cancel: () => void;
}

/** How a request ended for its sender. */
export interface WatchedOutcome {
    readonly outcome: Outcome;
    /** Present when the outcome is a silence: an answer may still come, whatever else is tried. */
    readonly open?: OpenTry;
}

type Ending = "Open" | "DeadlinePassed" | "Cancelled" | "Silent";

interface Try extends OpenTry {
    /** Resolves at the first silence, never if there is none. */
    readonly silence: Promise<"Silent">;
    readonly hasEnded: () => boolean;
    /** Whether the target was known to be silent already, so that the connection is not at fault. */
    readonly isPointless: () => boolean;
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

/** A request that must not run twice waits for its deadline: nobody can tell whether it arrived. */
const findLossTime = ({ idempotent, lossMs }: WatchedRequest): Milliseconds =>
    idempotent && lossMs !== undefined ? lossMs : Number.POSITIVE_INFINITY;

/** Starts a try that is given up once nothing was heard of it for the time after which a connection counts as lost. */
const startTry = (clock: Clock, request: WatchedRequest): Try => {
    const { signal } = request;
    const lossMs = findLossTime(request);
    let ending: Ending = "Open";
    let hasEnded = false;
    let isPointless = false;
    let signs = 0;
    let wasSilent = false;
    const sentAt = clock.monotonic();
    let heardAt = sentAt;
    let tellSilence: (silence: "Silent") => void = () => undefined;
    const silence = new Promise<"Silent">((resolve) => {
        tellSilence = resolve;
    });

    const end = (reason: Exclude<Ending, "Open">): void => {
        if (ending === "Open") {
            ending = reason;
            exchange.abort(DETAILS[reason]);
        }
    };
    const cancel = (): void => end("Cancelled");
    const onSilence = (lateMs: Milliseconds): void => {
        const now = clock.monotonic();
        const isLost = now - heardAt >= lossMs;
        const told: Silence = { isLost, sinceSentMs: now - sentAt, signs, lateMs };
        if (isLost) {
            request.onLoss?.(told);
            end("Silent");
        }
        if (!wasSilent) {
            wasSilent = true;
            request.renewConnections();
            isPointless = request.onSilence?.(told) ?? false;
            tellSilence("Silent");
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
            wasSilent = false;
            heardAt = clock.monotonic();
            request.onSign?.();
        },
    });
    signal.addEventListener("abort", cancel, { once: true });
    if (signal.aborted) {
        cancel();
    }

    const outcome = exchange.outcome.then((ended) => {
        hasEnded = true;
        watch.stop();
        signal.removeEventListener("abort", cancel);
        return nameReason(ended, ending);
    });
    return { outcome, cancel, silence, hasEnded: () => hasEnded, isPointless: () => isPointless };
};

/** A refusal of the other side comes as an answer; taken for one, it would promise too much of an earlier try. */
const findFailure = (outcome: Outcome, { readFailure }: WatchedRequest): RequestFailure | undefined =>
    either.isLeft(outcome) ? outcome.left : readFailure(outcome.right);

const discardAnswer = (outcome: Outcome): void => {
    if (either.isRight(outcome)) {
        discardBody(outcome.right);
    }
};

/** Hands what goes on to whoever sends the request elsewhere, and awaits or cancels it. */
const leaveOpen = (open: OpenTry): WatchedOutcome => ({
    outcome: either.left({ kind: "AnswerLost", verdict: "mayHaveRun", detail: DETAILS.Silent }),
    open,
});

/** The first answer of two tries; when both fail, the failure that covers them. */
const takeAnswer = async (first: OpenTry, second: OpenTry, request: WatchedRequest): Promise<Outcome> => {
    const [earlier, other] = await Promise.race([
        first.outcome.then((outcome) => [outcome, second] as const),
        second.outcome.then((outcome) => [outcome, first] as const),
    ]);
    if (findFailure(earlier, request) === undefined) {
        other.cancel();
        void other.outcome.then(discardAnswer);
        return earlier;
    }
    const later = await other.outcome;
    const hasRun = findFailure(later, request)?.verdict !== "notRun";
    discardAnswer(hasRun ? earlier : later);
    return hasRun ? later : earlier;
};

/** Both tries as one, for an owner that cancels or awaits them together. */
const joinTries = (first: OpenTry, second: OpenTry, request: WatchedRequest): OpenTry => ({
    outcome: takeAnswer(first, second, request),
    cancel: () => {
        first.cancel();
        second.cancel();
    },
});

/** Resolves when the second try at a target does not help either, while one of the two goes on. */
const waitUntilStuck = async (first: Try, second: Try, request: WatchedRequest): Promise<"Silent"> => {
    const failed = second.outcome.then((outcome) =>
        findFailure(outcome, request) === undefined || first.hasEnded() ? new Promise<never>(() => undefined) : "Silent");
    return Promise.race([second.silence, failed]);
};

/** Sends `request`; twice at most, and only if it is idempotent. Never rejects. */
export const sendWatched = async (clock: Clock, request: WatchedRequest): Promise<WatchedOutcome> => {
    const first = startTry(clock, request);
    if (!request.idempotent || request.silenceMs === undefined) {
        return { outcome: await first.outcome };
    }
    const ended = await Promise.race([first.outcome, first.silence]);
    if (ended !== "Silent") {
        return { outcome: ended };
    }
    if (!canSendAgain(request.body)) {
        return { outcome: await first.outcome };
    }
    if (first.isPointless()) {
        return leaveOpen(first);
    }
    const second = startTry(clock, request);
    const both = joinTries(first, second, request);
    const outcome = await Promise.race([both.outcome, waitUntilStuck(first, second, request)]);
    return outcome === "Silent" ? leaveOpen(both) : { outcome };
};
