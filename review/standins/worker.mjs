// A small worker stand-in on plain sockets, as PROTOCOL.md describes workers, with its check-ins.
import net from "node:net";
import { send } from "./fleet.mjs";

/**
 * Reads the requests of a connection one by one. `onRequest` receives the head and the body; the promise that it
 * returns ends the request.
 */
export const readRequests = (socket, onHead, onRequest) => {
    let pending = Buffer.alloc(0);
    let current;
    let isBusy = false;
    const parse = () => {
        if (isBusy) {
            return;
        }
        if (current === undefined) {
            const end = pending.indexOf("\r\n\r\n");
            if (end === -1) {
                return;
            }
            const [line, ...lines] = pending.toString("latin1", 0, end).split("\r\n");
            const [method, target] = line.split(" ");
            const headers = {};
            for (const header of lines) {
                const colon = header.indexOf(":");
                headers[header.slice(0, colon).toLowerCase()] = header.slice(colon + 1).trim();
            }
            pending = pending.subarray(end + 4);
            current = { method, path: target, headers, body: [], isChunked: /chunked/i.test(headers["transfer-encoding"] ?? "") };
            current.left = Number(headers["content-length"] ?? 0);
            onHead?.(current);
        }
        if (current.isChunked) {
            for (;;) {
                const lineEnd = pending.indexOf("\r\n");
                if (lineEnd === -1) {
                    return;
                }
                const size = Number.parseInt(pending.toString("latin1", 0, lineEnd), 16);
                if (pending.length < lineEnd + 2 + size + 2) {
                    return;
                }
                current.body.push(pending.subarray(lineEnd + 2, lineEnd + 2 + size));
                pending = pending.subarray(lineEnd + 2 + size + 2);
                if (size === 0) {
                    break;
                }
            }
        }
        else {
            const taken = pending.subarray(0, current.left);
            current.body.push(taken);
            current.left -= taken.length;
            pending = pending.subarray(taken.length);
            if (current.left > 0) {
                return;
            }
        }
        const request = { ...current, body: Buffer.concat(current.body) };
        current = undefined;
        isBusy = true;
        Promise.resolve(onRequest(request)).then(() => {
            isBusy = false;
            if (!socket.destroyed) {
                parse();
            }
        });
    };
    socket.on("data", (bytes) => {
        pending = Buffer.concat([pending, bytes]);
        parse();
    });
};

/** Formats an answer with a length. */
export const formatAnswer = (status, headers, body = "") => Buffer.concat([
    Buffer.from(`HTTP/1.1 ${status} X\r\n${Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) })
        .map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`, "latin1"),
    Buffer.from(body),
]);

/**
 * Starts a worker. `run` is called for each request that expects this worker and resolves with the bytes to write;
 * undefined if it has written to the socket itself.
 */
export const startWorker = (machine, { id, service = machine.service, slots = 12, version = "v1", run, onHead, onConnection }) =>
    new Promise((resolve) => {
        const sockets = new Set();
        const state = { id, seq: 0, state: "ready", isBeating: true, bornAt: Date.now() };
        const server = net.createServer({ noDelay: true }, (socket) => {
            sockets.add(socket);
            socket.on("close", () => sockets.delete(socket));
            socket.on("error", () => undefined);
            onConnection?.(socket);
            readRequests(socket, onHead && ((head) => onHead(head, socket)), async (request) => {
                const attempt = request.headers["attempt-id"];
                const echo = attempt === undefined ? {} : { "Attempt-Id": attempt };
                if (request.path === "/healthz") {
                    socket.write(formatAnswer(200, { "Instance-Id": state.id }));
                    return;
                }
                const expected = request.headers["expect-instance"];
                if (expected !== undefined && expected !== state.id) {
                    socket.write(formatAnswer(421, { ...echo, "Instance-Id": state.id }));
                    return;
                }
                const bytes = await run(request, socket, echo);
                if (bytes !== undefined && !socket.destroyed) {
                    socket.write(bytes);
                }
            });
        });
        const beat = async () => {
            state.seq += 1;
            return send(machine.ip, machine.ports.control, "POST", `/v1/rpc?call=instances.heartbeat&of=${state.id}`,
                JSON.stringify({
                    service, address: `${machine.ip}:${machine.ports.app}`, zone: machine.zone, version, slots,
                    state: state.state, cold_left: "0ms", seq: state.seq,
                }));
        };
        const timer = setInterval(() => state.isBeating && void beat(), 1500);
        server.listen(machine.ports.app, machine.ip, async () => {
            const endsAt = Date.now() + 15_000;
            while (Date.now() < endsAt && await beat() !== 200) {
                await new Promise((later) => setTimeout(later, 150));
            }
            resolve({
                state,
                sockets,
                beat,
                leave: () => send(machine.ip, machine.ports.control, "POST", `/v1/rpc?call=instances.deregister&of=${state.id}`),
                stop: () => {
                    clearInterval(timer);
                    server.close();
                    sockets.forEach((socket) => socket.destroy());
                },
            });
        });
    });
