/** Responses to requests that the parser of Node.js rejects. */
import { STATUS_CODES, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { REASON_HEADER, VERDICT_HEADER } from "oleandergap-types";

const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";
const HEADER_TOO_LARGE_STATUS = 431;
const BAD_REQUEST_STATUS = 400;

/** An error of the parser or of a connection. */
export type ClientError = Error & { readonly code?: string };

const getMalformedStatus = ({ code }: ClientError): number =>
    code === HEADER_OVERFLOW_CODE ? HEADER_TOO_LARGE_STATUS : BAD_REQUEST_STATUS;

const MALFORMED_HEADERS = { [VERDICT_HEADER]: "notRun", [REASON_HEADER]: "BadRequest", "content-length": "0" };

/** Refuses a malformed request on a connection that has no response for it, and closes the connection. */
export const refuseMalformedRequest = (error: ClientError, socket: Socket): void => {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const status = getMalformedStatus(error);
    const lines = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
        ...Object.entries(MALFORMED_HEADERS).map(([name, value]) => `${name}: ${value}`),
        "connection: close",
    ];
    socket.end(`${lines.join("\r\n")}\r\n\r\n`);
};

/** Refuses a malformed request whose head was read. */
export const answerMalformedRequest = (error: ClientError, response: ServerResponse): void => {
    response.writeHead(getMalformedStatus(error), { ...MALFORMED_HEADERS, connection: "close" });
    response.end();
};
