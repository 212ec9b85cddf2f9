/**
 * A stand-in for a worker. It follows the platform's pages: it checks in, answers with its receipt, rejects what it
 * cannot queue with `Not-Executed`, and answers 421 to a request that expects another instance. What a path asks for is
 * in its query: `work` (milliseconds), `fault` (how its answer goes wrong).
 */
import { createHash, randomBytes } from "node:crypto";
import http from "node:http";

const SPACES = " ".repeat(60_000);
const QUEUE = 48;

let options;
let instanceId = "";
let born = 0;
let sequence = 0;
let running = 0;
let state = "ready";
let isMute = false;
let server;
const waiting = [];
/** The next answers go wrong in this way. */
let spoiled = { fault: "", left: 0 };

const report = (message) => process.send?.(message);

const createHead = (id, more = "") => "HTTP/1.1 200 OK\r\n" +
    `Attempt-Id: ${id}\r\nServer-Stamp: ${instanceId}.${id}\r\nServer-Load: ${running},${waiting.length},` +
    `${options.slots}\r\n${more}`;

/** Writes bytes for as long as the connection takes them. */
const writeWithoutEnd = (socket, createBytes) => {
    const bytes = createBytes();
    const writeOn = () => {
        while (!socket.destroyed && socket.write(bytes));
    };
    socket.on("drain", writeOn);
    writeOn();
};

const FAULTS = {
    /** One header line with many spaces between two words. */
    spaces: (socket, id) => {
        socket.end(`${createHead(id, `X-Note: a${SPACES}b\r\n`)}Content-Length: 2\r\n\r\nok`);
    },
    /** A body in chunks of one byte that does not end. */
    chunks: (socket, id) => {
        socket.write(createHead(id, "Transfer-Encoding: chunked\r\n\r\n"));
        writeWithoutEnd(socket, () => Buffer.from("1\r\na\r\n".repeat(10_000)));
    },
    /** A body that does not end. */
    endless: (socket, id) => {
        socket.write(createHead(id, "Content-Length: 900000000000\r\n\r\n"));
        writeWithoutEnd(socket, () => Buffer.alloc(65_536, "a"));
    },
    /** Informational heads without end. */
    informational: (socket) => {
        writeWithoutEnd(socket, () => Buffer.from("HTTP/1.1 100 Continue\r\n\r\n".repeat(3000)));
    },
    /** Ends the process, as a request does that crashes its worker. */
    crash: () => process.exit(9),
};

const startNext = () => {
    running -= 1;
    const next = waiting.shift();
    if (next !== undefined) {
        run(next);
    }
};

/** Writes the answer, or what the worker sends in its place. */
const answer = ({ request, response, url, id, digest }) => {
    const isSpoiled = spoiled.left > 0;
    spoiled.left -= isSpoiled ? 1 : 0;
    const fault = FAULTS[isSpoiled ? spoiled.fault : url.searchParams.get("fault") ?? ""];
    if (fault !== undefined) {
        report({ spoils: id });
        fault(request.socket, id);
        return;
    }
    if (!response.destroyed) {
        const body = `${id} ${digest}`;
        response.writeHead(200, {
            "attempt-id": id, "server-stamp": `${instanceId}.${id}`,
            "server-load": `${running},${waiting.length},${options.slots}`,
            "content-length": Buffer.byteLength(body), "keep-alive": "timeout=10",
        });
        response.end(body);
    }
};

const run = ({ request, response, bytes, url, id }) => {
    running += 1;
    const digest = createHash("sha1").update(bytes).digest("hex");
    report({ run: { id, path: request.url, instance: instanceId, caller: request.headers["caller-service"], digest } });
    const end = (how) => {
        clearTimeout(timer);
        request.socket.off("close", drop);
        report({ end: { id, how } });
        startNext();
    };
    const drop = () => {
        if (options.drops !== false) {
            end("dropped");
        }
    };
    const timer = setTimeout(() => {
        answer({ request, response, url, id, digest });
        end("done");
    }, Number(url.searchParams.get("work") ?? options.workMs ?? 90));
    request.socket.once("close", drop);
};

const handle = async (request, response) => {
    const chunks = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk);
        }
    }
    catch {
        return;
    }
    const id = request.headers["attempt-id"] ?? "";
    const refuse = (status, headers) => {
        response.writeHead(status, { "attempt-id": id, "content-length": 0, ...headers });
        response.end();
    };
    if (request.url === "/healthz") {
        refuse(state === "ready" ? 200 : 503, { "instance-id": instanceId });
        return;
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== instanceId) {
        report({ misdirected: id });
        refuse(421, { "instance-id": instanceId });
        return;
    }
    const entry = {
        request, response, bytes: Buffer.concat(chunks), url: new URL(request.url, "http://worker"), id,
    };
    if (running < options.slots) {
        run(entry);
    }
    else if (waiting.length < QUEUE) {
        waiting.push(entry);
    }
    else {
        refuse(503, { "not-executed": "1" });
    }
};

const call = (verb, body) => new Promise((resolve) => {
    const text = JSON.stringify(body);
    const request = http.request({
        host: options.ip, port: options.control, method: "POST", agent: false, timeout: 1000,
        path: `/v1/rpc?call=instances.${verb}&of=${instanceId}`,
        headers: { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
    });
    request.on("response", (response) => {
        response.resume();
        resolve(response.statusCode);
    });
    request.on("error", () => resolve(undefined));
    request.on("timeout", () => request.destroy());
    request.end(text);
});

const createCheckIn = () => {
    sequence += 1;
    return {
        service: options.service, address: `${options.ip}:${options.port}`, zone: options.zone, version: "v1",
        slots: options.slots, state, cold_left: "0ms", seq: sequence, born,
    };
};

const checkIn = async () => {
    if (!isMute) {
        const status = await call("heartbeat", createCheckIn());
        if (state === "draining") {
            report({ drainingAnswered: status });
        }
    }
};

/**
 * Leaves without having reported `draining`: says goodbye, serves on for a time and exits. A check-in that was sent
 * before the goodbye arrives late.
 */
const leave = async ({ serveMs, lateMs }) => {
    isMute = true;
    const delayed = createCheckIn();
    const status = await call("deregister", { born });
    report({ goodbyeAnswered: status, instance: instanceId });
    setTimeout(async () => {
        report({ lateCheckInAnswered: await call("heartbeat", delayed) });
    }, lateMs);
    setTimeout(() => process.exit(0), serveMs);
};

const start = async (given) => {
    options = given;
    instanceId = options.instanceId ?? `i-${randomBytes(4).toString("hex")}`;
    born = Date.now();
    server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
        handle(request, response).catch(() => response.destroy());
    });
    server.listen(options.port, options.ip, () => {
        report({ started: instanceId });
        void checkIn();
        setInterval(() => void checkIn(), 1000);
    });
};

process.on("message", (message) => {
    if (message.start !== undefined) {
        void start(message.start);
    }
    if (message.state !== undefined) {
        state = message.state;
        void checkIn();
    }
    if (message.spoil !== undefined) {
        spoiled = message.spoil;
    }
    if (message.leave !== undefined) {
        void leave(message.leave);
    }
    if (message.mute !== undefined) {
        isMute = message.mute;
    }
});
process.on("disconnect", () => process.exit(0));
