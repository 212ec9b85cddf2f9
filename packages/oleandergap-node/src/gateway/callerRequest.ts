/** Parses the head of a caller's request: the service, the deadline, and whether the request is idempotent. */
import type { IncomingMessage } from "node:http";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import {
    IDEMPOTENCY_KEY_HEADER,
    MAX_NAME_LENGTH,
    type Customer,
    type Milliseconds,
    type PartnerTable,
    type RequestFailure,
    type Route,
    type ServiceReference,
    type ServiceRow,
    type TableView,
} from "oleandergap-types";
import type { CallerDialect } from "../http/dialect.js";
import { countHeader, selectRequestHeaders } from "../http/headers.js";
import { isIdempotentMethod } from "../http/idempotentMethods.js";
import { createCachedParser } from "../http/cachedParser.js";
import { combinePriorities, type IdentifyCustomer } from "./customerIdentification.js";
import type { ElapsedWaitEstimator } from "./elapsedWaitEstimator.js";
import { findRoute, type ChooseService } from "./routeTable.js";

/** A caller's request without its body, together with the version of the table that it is served by. */
export interface CallerRequest {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    readonly table: PartnerTable;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly string[];
    readonly host: string;
    readonly idempotent: boolean;
    /** Priority among the requests of a service, combined from the customer's and the route's; 0 is the highest. */
    readonly priority: number;
    /** Customer whose caller sent the request; undefined for requests that belong to no customer. */
    readonly customer: Customer | undefined;
    /** Name of the route, or an empty string if there is none. */
    readonly kind: string;
    /** Maximum number of targets that the request may be sent to; undefined if there is no route. */
    readonly maximumTargets: number | undefined;
    readonly idempotencyKey: string | undefined;
    readonly deadline: Milliseconds;
    /** Monotonic time of the latency objective; undefined if there is no route. */
    readonly objective: Milliseconds | undefined;
    /** Whether the caller seems to have been refused before. */
    readonly isCallerRetry: boolean;
}

const MAX_HOST_LENGTH = 2 * MAX_NAME_LENGTH + ".:65535".length;
const HOST_PATTERN = /^([a-z0-9-]+)\.([a-z0-9-]+)(?::\d{1,5})?$/;
const badRequest = (detail: string): RequestFailure => ({ kind: "BadRequest", verdict: "notRun", detail });

const unknownService: RequestFailure = {
    kind: "Refused",
    verdict: "notRun",
    reason: "UnknownService",
    retryAfterMs: 1000,
};

const readServiceHost = (host: string): ServiceReference | undefined => {
    const match = host.length <= MAX_HOST_LENGTH ? HOST_PATTERN.exec(host.toLowerCase()) : null;
    const service = match?.[1];
    const partner = match?.[2];
    return service === undefined || partner === undefined ? undefined : { partner, service };
};

/** Parses a Host header of the form `service.partner` with an optional port. */
export const parseHost = createCachedParser(readServiceHost);

/** Priority of a request that matches no route. */
const DEFAULT_PRIORITY = 0;

/** Destination of a request according to the tables in force. */
interface Destination {
    readonly service: ServiceReference;
    readonly row: ServiceRow;
    readonly table: PartnerTable;
    /** Undefined if the Host header contains the service itself. */
    readonly route: Route | undefined;
}

const findRoutedService = (
    view: TableView,
    host: string,
    path: string,
    chooseService: ChooseService,
): Destination | undefined => {
    const found = findRoute(view, host, path);
    if (found === undefined) {
        return undefined;
    }
    const { route, table } = found;
    const service = chooseService(route);
    const row = table.services.get(service);
    // A route refers only to services of its own table version; this is validated when the table is applied.
    return row && { service: { partner: table.head.partner, service }, row, table, route };
};

/** Returns the service that the Host header contains. */
const findNamedService = (view: TableView, host: string): Either<RequestFailure, Destination> => {
    const service = parseHost(host);
    if (service === undefined) {
        const hasRoutes = [...view.values()].some((table) => table.routes.size > 0);
        return either.left(hasRoutes ?
            unknownService :
            badRequest("the Host header must be service.partner, for example grant-filer.halloway"));
    }
    const table = view.get(service.partner);
    const row = table?.services.get(service.service);
    return table === undefined || row === undefined ?
        either.left(unknownService) :
        either.right({ service, row, table, route: undefined });
};

const checkIdempotencyKey = (
    row: ServiceRow,
    idempotent: boolean,
    key: string | undefined,
): RequestFailure | undefined =>
    row.idempotency === "required" && !idempotent && key === undefined ?
        badRequest(`requests of this service that may not run twice need the ${IDEMPOTENCY_KEY_HEADER} header`) :
        undefined;

/** Dependencies of reading a request. */
export interface CallerRequestContext {
    /**
     * Monotonic time at which the head was read. The timeout of the request starts here. If it started when the request
     * is handled, callers of a node with queued requests would get no response within the configured timeout.
     */
    readonly receivedAt: Milliseconds;
    /** The tables currently in force; the request uses them until it ends. */
    readonly view: TableView;
    readonly dialect: CallerDialect;
    readonly chooseService: ChooseService;
    /** Whether it is the first request on its connection. */
    readonly isFirst: boolean;
    readonly estimateElapsedWait: ElapsedWaitEstimator["estimate"];
    readonly identifyCustomer: IdentifyCustomer;
    /** Service of the caller if the caller is this node's local target. */
    readonly callingService: ServiceReference | undefined;
}

/** Returns the timeout of the request: the shorter one of the route's and the caller's timeout. */
const chooseTimeout = ({ route, row }: Destination, requestedTimeoutMs: Milliseconds | undefined): Milliseconds =>
    route === undefined ?
        requestedTimeoutMs ?? row.limit.timeoutMs :
        Math.min(requestedTimeoutMs ?? route.timeoutMs, route.timeoutMs);

const getReservedHeaders = (dialect: CallerDialect, { customers }: PartnerTable): ReadonlySet<string> =>
    (customers === undefined ? undefined : dialect.reservedHeadersWithCustomers) ?? dialect.reservedHeaders;

/** Parses the head of `request`. */
export const readCallerRequest = (
    context: CallerRequestContext,
    request: IncomingMessage,
): Either<RequestFailure, CallerRequest> => {
    const { receivedAt, isFirst, view, dialect, chooseService, estimateElapsedWait } = context;
    if (countHeader(request, "host") > 1) {
        // With several Host headers, two hops could each use a different one and send the request to different
        // services.
        return either.left(badRequest("there is more than one Host header"));
    }
    const path = request.url ?? "";
    if (!path.startsWith("/")) {
        return either.left(badRequest("the request target must be a path"));
    }
    const host = request.headers.host ?? "";
    const routed = findRoutedService(view, host, path, chooseService);
    const destination = routed === undefined ? findNamedService(view, host) : either.right(routed);
    if (either.isLeft(destination)) {
        return destination;
    }
    const { service, row, table, route } = destination.right;
    const customer = context.identifyCustomer({ request, callingService: context.callingService, table, route });
    if (either.isLeft(customer)) {
        return customer;
    }
    const timeout = dialect.readTimeout(request);
    if (either.isLeft(timeout)) {
        return timeout;
    }
    const method = request.method ?? "";
    const idempotent = route === undefined ? isIdempotentMethod(method) : route.kind === "safe";
    const idempotencyKey = dialect.readIdempotencyKey(request);
    const keyFailure = checkIdempotencyKey(row, idempotent, idempotencyKey);
    if (keyFailure !== undefined) {
        return either.left(keyFailure);
    }
    const requestedTimeoutMs = timeout.right;
    const elapsedMs = route === undefined || requestedTimeoutMs === undefined ?
        0 :
        estimateElapsedWait(route.name, { remainingMs: requestedTimeoutMs, isFirst });
    return either.right({
        service,
        row,
        table,
        method,
        path,
        headers: selectRequestHeaders(request, getReservedHeaders(dialect, table)),
        host,
        idempotent,
        priority: combinePriorities(customer.right, route?.priority ?? DEFAULT_PRIORITY),
        customer: customer.right,
        kind: route?.name ?? "",
        maximumTargets: route?.maxAttempts,
        idempotencyKey: idempotent ? undefined : idempotencyKey,
        deadline: receivedAt + chooseTimeout(destination.right, timeout.right),
        objective: route && receivedAt + route.targetLatencyMs - elapsedMs,
        isCallerRetry: elapsedMs > 0,
    });
};
