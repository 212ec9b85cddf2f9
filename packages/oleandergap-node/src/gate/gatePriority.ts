/** Reads the priority that the gateway sets on its requests to gates. */
import type { IncomingMessage } from "node:http";
import { PRIORITY_HEADER, readRequestHeader } from "../http/headers.js";

const PRIORITY_PATTERN = /^\d{1,7}$/;

/** Returns the priority of a request at a gate; 0, the most urgent, if the header is missing or malformed. */
export const readGatePriority = (request: IncomingMessage): number => {
    const headerValue = readRequestHeader(request, PRIORITY_HEADER);
    return headerValue !== undefined && PRIORITY_PATTERN.test(headerValue) ? Number(headerValue) : 0;
};
