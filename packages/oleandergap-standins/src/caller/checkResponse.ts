/** Checks that a response is complete and belongs to its request. */
import { createHash } from "node:crypto";
import { echoSchema, type Echo } from "../target/echo.js";
import type { CallRequest } from "./callResult.js";

/** Result of the check: the decoded response, or the reason why it is wrong. */
export type ResponseCheck =
    | { readonly kind: "Valid"; readonly echo: Echo }
    | { readonly kind: "Wrong"; readonly detail: string };

const NO_BODY = new Uint8Array();

const digestBody = (body: Uint8Array = NO_BODY): string => createHash("sha256").update(body).digest("hex");

interface Comparison {
    readonly name: string;
    readonly expected: string | number;
    readonly found: string | number | undefined;
}

const compareFields = (request: CallRequest, echo: Echo): readonly Comparison[] => [
    { name: "run key", expected: request.runKey, found: echo.runKey },
    { name: "partner", expected: request.service.partner, found: echo.partner },
    { name: "service", expected: request.service.service, found: echo.service },
    { name: "method", expected: request.method, found: echo.method },
    { name: "path", expected: request.path, found: echo.path },
    { name: "body digest", expected: digestBody(request.body), found: echo.bodyDigest },
    { name: "padding", expected: request.answerPadding ?? 0, found: echo.padding?.length },
];

const parseEcho = (text: string): Echo | undefined => {
    try {
        return echoSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
};

/** Compares the response body `text` with the request to which it should belong. */
export const checkResponse = (request: CallRequest, text: string): ResponseCheck => {
    const echo = parseEcho(text);
    if (echo === undefined) {
        return { kind: "Wrong", detail: `not a complete response of a target: ${text.length} characters` };
    }
    const difference = compareFields(request, echo).find(({ expected, found }) => expected !== found);
    return difference === undefined ?
        { kind: "Valid", echo } :
        {
            kind: "Wrong",
            detail: `${difference.name}: expected ${difference.expected}, found ${difference.found ?? "nothing"}`,
        };
};
