// A small store stand-in: rows, transactions, feeds and objects, as PROTOCOL.md describes them.
import http from "node:http";

const compareKeys = (left, right) => Buffer.compare(Buffer.from(left), Buffer.from(right));

/** Starts the store on a loopback address. `set` writes a row as the operator does. */
export const startStore = (host) => new Promise((resolve) => {
    const startedAt = performance.now();
    const tables = new Map();
    const log = [];
    const objects = new Map();
    const waiting = new Set();
    let version = 0;
    let era = 1;
    let isAway = false;

    const findTable = (name) => {
        const table = tables.get(name) ?? new Map();
        tables.set(name, table);
        return table;
    };
    const formatRow = (row) => row.deleted ?
        { table: row.table, part: row.part, key: row.key, schema_ver: row.schema_ver, deleted: true } :
        { table: row.table, part: row.part, key: row.key, value: row.value, schema_ver: row.schema_ver };
    const commit = (puts, removes) => {
        version += 1;
        const rows = [
            ...puts.map(({ table, part = "", key, value }) => ({ table, part, key, value, schema_ver: version })),
            ...removes.map(({ table, part = "", key }) => ({ table, part, key, schema_ver: version, deleted: true })),
        ];
        for (const row of rows) {
            const table = findTable(row.table);
            if (row.deleted) {
                table.delete(`${row.part}\0${row.key}`);
            }
            else {
                table.set(`${row.part}\0${row.key}`, row);
            }
            log.push(row);
        }
        for (const wake of [...waiting]) {
            wake();
        }
    };

    const send = (response, status, value) => {
        const body = JSON.stringify(value);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "store-era": String(era),
        });
        response.end(body);
    };
    const stamp = () => ({ schema_ver: version, now: `${Math.floor(performance.now() - startedAt)}ms` });

    const transact = (response, { expected_rev: expected = [], set_keys: puts = [], remove = [] }) => {
        const current = expected.map(({ table, part = "", key }) =>
            findTable(table).get(`${part}\0${key}`) ?? { table, part, key, schema_ver: 0, deleted: true });
        const isFailed = expected.some((row, index) => (row.schema_ver ?? 0) !== current[index].schema_ver);
        if (isFailed) {
            send(response, 412, { rows: current.map(formatRow), ...stamp() });
            return;
        }
        commit(puts, remove);
        send(response, 200, stamp());
    };

    const readRows = (response, query) => {
        const part = query.get("part") ?? "";
        const from = query.get("start_rev") ?? "";
        const to = query.get("to");
        const limit = Math.min(500, Number(query.get("limit") ?? 500));
        const rows = [...findTable(query.get("table")).values()]
            .filter((row) => row.part === part && compareKeys(row.key, from) >= 0)
            .filter((row) => to === null || compareKeys(row.key, to) < 0)
            .sort((left, right) => compareKeys(left.key, right.key));
        send(response, 200, { rows: rows.slice(0, limit).map(formatRow), has_more: rows.length > limit, ...stamp() });
    };

    const feedRows = (response, query) => {
        const table = query.get("table");
        const after = Number(query.get("after"));
        if (after > version) {
            send(response, 410, stamp());
            return;
        }
        const answer = (isLast) => {
            const newest = new Map();
            for (const row of log) {
                if (row.table === table && row.schema_ver > after) {
                    newest.delete(row.key);
                    newest.set(row.key, row);
                }
            }
            if (newest.size === 0 && !isLast) {
                return;
            }
            waiting.delete(wake);
            clearTimeout(timer);
            send(response, 200, { rows: [...newest.values()].map(formatRow), ...stamp() });
        };
        const wake = () => answer(false);
        const timer = setTimeout(() => answer(true), Math.min(30_000, Number(query.get("wait_ms") ?? 0)));
        waiting.add(wake);
        response.on("close", () => {
            waiting.delete(wake);
            clearTimeout(timer);
        });
        wake();
    };

    const serveObject = (request, response, url, bytes) => {
        const id = decodeURIComponent(url.pathname.split("/").slice(3).join("/"));
        if (request.method === "PUT") {
            if (request.headers["if-none-match"] === "*" && objects.has(id)) {
                send(response, 412, {});
                return;
            }
            objects.set(id, bytes);
            send(response, 200, {});
            return;
        }
        if (request.method === "DELETE") {
            objects.delete(id);
            send(response, 200, {});
            return;
        }
        const found = objects.get(id);
        if (found === undefined) {
            send(response, 404, {});
            return;
        }
        response.writeHead(200, { "content-length": found.length, "store-era": String(era) });
        response.end(found);
    };

    const server = http.createServer((request, response) => {
        const chunks = [];
        request.on("data", (chunk) => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", () => setTimeout(() => {
            if (isAway) {
                send(response, 503, {});
                return;
            }
            const url = new URL(request.url, "http://store");
            const bytes = Buffer.concat(chunks);
            switch (url.pathname) {
                case "/v1/rows-tx":
                    transact(response, JSON.parse(bytes.toString("utf8")));
                    return;
                case "/v1/rows-get":
                    readRows(response, url.searchParams);
                    return;
                case "/v1/rows-feed":
                    feedRows(response, url.searchParams);
                    return;
                case "/v1/blob-list":
                    send(response, 200, {
                        names: [...objects.keys()].filter((name) => name.startsWith(url.searchParams.get("prefix") ?? "")),
                        has_more: false,
                    });
                    return;
                default:
                    serveObject(request, response, url, bytes);
            }
        }, 4));
    });
    server.listen(0, host, () => resolve({
        port: server.address().port,
        set: (table, key, value) =>
            commit([{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []),
        /** Returns the value of a row; undefined if there is none. */
        get: (table, key) => {
            const row = findTable(table).get(`\0${key}`);
            return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
        },
        /** Returns a copy from which the store can come back. */
        copy: () => ({
            version,
            rows: log.length,
            tables: [...tables].map(([name, rows]) => [name, new Map(rows)]),
        }),
        /** Is away for a moment, and comes back from a copy. */
        restore: async (copied, awayMs) => {
            isAway = true;
            for (const wake of [...waiting]) {
                waiting.delete(wake);
            }
            server.closeAllConnections();
            await new Promise((later) => setTimeout(later, awayMs));
            tables.clear();
            copied.tables.forEach(([name, rows]) => tables.set(name, new Map(rows)));
            log.length = copied.rows;
            version = copied.version;
            era += 1;
            isAway = false;
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    }));
});
