/** Sends requests over HTTP/1.1 on plain sockets, behind a port that does not depend on the protocol. */
export type { ResponseBodyLimits } from "./bodyWatch.js";
export type {
    OutgoingBody,
    OutgoingRequest,
    RequestControl,
    RequestTransport,
    ResponseHeaders,
    ResponseReceiver,
    StreamedBody,
} from "./requestTransport.js";
export { WithheldError } from "./requestTransport.js";
export { createConnector, type Connect, type ConnectorOptions } from "./connector.js";
export { createHttpPool, type HttpPool, type HttpPoolOptions } from "./httpPool.js";
