import { Agent, createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import { createManualClock } from "oleandergap-utils";
import { defaultDistributionOptions } from "../options.js";
import { exchangeWithPeer } from "../peerTransport.js";

const { timeoutMs } = defaultDistributionOptions.peer;

describe("a node whose event loop was blocked", () => {
    // Guards against a node that treats its event loop lag as a timeout of the peer and discards the response unread.
    it("reads a response that has already arrived before it applies the peer timeout", async () => {
        const clock = createManualClock();
        const agent = new Agent();
        let resolveRequested: (response: ServerResponse) => void = () => undefined;
        const requested = new Promise<ServerResponse>((resolve) => {
            resolveRequested = resolve;
        });
        const server = createServer((_request, response) => resolveRequested(response));
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const outcome = exchangeWithPeer({
            ...defaultDistributionOptions.peer,
            address: "127.0.0.1",
            port: (server.address() as AddressInfo).port,
            path: "/",
            authorization: undefined,
            body: undefined,
            signal: new AbortController().signal,
        }, { agent, clock, countBytes: () => undefined });
        (await requested).end("{}");
        clock.block(timeoutMs + 1);
        const result = await outcome;
        agent.destroy();
        server.close();
        expect(result).to.deep.equal(either.right({ status: 200, text: "{}" }));
    });
});
