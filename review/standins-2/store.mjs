/** A stand-in for the platform's store: rows, feeds and transactions, linearizable, over HTTP/1.1. */
import http from "node:http";

const HISTORY_LIMIT = 10_000;

const readBody = async (request) => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
};

/** Starts the store. `record` receives one line for each write. */
export const startStore = async ({ address, port, record }) => {
    let rows = new Map();
    let history = [];
    let version = 1;
    let era = 1;
    let isDown = false;
    const waiting = new Set();
    const startedAt = performance.now();

    const toKey = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
    const stamp = () => ({ schema_ver: version, now: `${Math.round(performance.now() - startedAt)}ms` });

    const commit = (sets, removes) => {
        version += 1;
        for (const { table, part = "", key, value } of sets) {
            const row = { table, part, key, value, schema_ver: version };
            rows.set(toKey(row), row);
            history.push(row);
        }
        for (const { table, part = "", key } of removes) {
            rows.delete(toKey({ table, part, key }));
            history.push({ table, part, key, schema_ver: version, deleted: true });
        }
        history = history.slice(-HISTORY_LIMIT);
        [...waiting].forEach((notify) => notify());
    };

    const transact = (body) => {
        const failed = (body.expected_rev ?? []).some((row) =>
            (rows.get(toKey(row))?.schema_ver ?? 0) !== row.schema_ver);
        if (failed) {
            const found = body.expected_rev.map((row) => rows.get(toKey(row))).filter((row) => row !== undefined);
            return [412, { rows: found, ...stamp() }];
        }
        commit(body.set_keys ?? [], body.remove ?? []);
        record({ at: "store", tx: (body.set_keys ?? []).map(({ table, key }) => `${table}:${key}`) });
        return [200, stamp()];
    };

    const getRows = (query) => {
        const limit = Math.min(500, Number(query.get("limit") ?? 500));
        const from = query.get("start_rev") ?? "";
        const to = query.get("to");
        const found = [...rows.values()]
            .filter(({ table, part }) => table === query.get("table") && part === (query.get("part") ?? ""))
            .filter(({ key }) => key >= from && (to === null || key < to))
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return [200, { rows: found.slice(0, limit), has_more: found.length > limit, ...stamp() }];
    };

    const follow = (query, send, request) => {
        const after = Number(query.get("after"));
        if (after > version) {
            send(410, { error: "no such version", ...stamp() });
            return;
        }
        const respond = (isOver) => {
            const changed = history.filter(({ table, schema_ver: at }) => table === query.get("table") && at > after);
            if (changed.length > 0 || isOver) {
                waiting.delete(notify);
                clearTimeout(timer);
                send(200, { rows: changed, ...stamp() });
            }
        };
        const notify = () => respond(false);
        const timer = setTimeout(() => respond(true), Number(query.get("wait_ms")));
        waiting.add(notify);
        request.on("close", () => waiting.delete(notify));
        notify();
    };

    const server = http.createServer(async (request, response) => {
        const url = new URL(request.url, "http://store");
        const body = await readBody(request).catch(() => undefined);
        const send = (status, value) => {
            if (isDown) {
                request.socket.destroy();
                return;
            }
            const text = JSON.stringify(value);
            response.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
                "store-era": String(era),
            });
            response.end(text);
        };
        if (isDown || body === undefined) {
            request.socket.destroy();
            return;
        }
        setTimeout(() => {
            switch (`${request.method} ${url.pathname}`) {
                case "POST /v1/rows-tx":
                    send(...transact(JSON.parse(body)));
                    return;
                case "GET /v1/rows-get":
                    send(...getRows(url.searchParams));
                    return;
                case "GET /v1/rows-feed":
                    follow(url.searchParams, send, request);
                    return;
                default:
                    send(404, { error: "unknown call" });
            }
        }, 4);
    });
    await new Promise((resolve) => server.listen(port, address, resolve));
    return {
        write: (table, key, value) => {
            commit([{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
            record({ at: "store", operator: `${table}:${key}` });
        },
        list: (table) => [...rows.values()].filter((row) => row.table === table).map(({ key }) => key),
        copy: () => ({ rows: new Map(rows), history: [...history], version }),
        /** Is away for a moment, and comes back from a copy in a new era. */
        restore: async (copy, awayMs) => {
            isDown = true;
            server.closeAllConnections();
            await new Promise((resolve) => setTimeout(resolve, awayMs));
            rows = new Map(copy.rows);
            history = [...copy.history];
            version = copy.version;
            era += 1;
            isDown = false;
            record({ at: "store", restored: true, era, version });
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
