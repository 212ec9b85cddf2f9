// The operator's manifest of a small deployment.

const ROUTE_COLUMNS =
    ["name", "host", "prefix", "kind", "timeout", "target_latency", "priority", "traffic_split", "max_attempts", "service"];

/** Creates a route as a row. */
export const createRoute = ({ name, host, prefix, kind, timeout, service, latency = "400ms", attempts = 2 }) =>
    [name, host, prefix, kind, timeout, latency, 1, null, attempts, service];

/** Creates a manifest, with the shape that `deploy/wire.toml` selects. */
export const createManifest = (version, routes, services) => ({
    version,
    routes: { columns: ROUTE_COLUMNS, rows: routes },
    services: {
        columns: ["name", "health_path", "max_conns", "protocol", "tls"],
        rows: services.map((service) => [service, "/healthz", 120, "h1", false]),
    },
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: "3000ms", idle_timeout: "15000ms" },
    base_version: version - 1,
});
