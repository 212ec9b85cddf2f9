import net from "node:net";
import { expect } from "chai";
import * as either from "fp-ts/lib/Either.js";
import type { Fingerprint } from "oleandergap-containment";
import { createSystemClock } from "oleandergap-utils";
import { receiveBody, MAX_REPLAY_BYTES } from "../http/requestBody.js";
import { fingerprintRequest } from "../http/requestFingerprint.js";
import { createCleanup, LOOPBACK, startTarget, waitUntil } from "./support.js";

describe("fingerprintRequest", () => {
    const cleanup = createCleanup();
    afterEach(() => cleanup.run());

    it("computes the same fingerprint for a large upload regardless of its chunk sizes", async () => {
        const fingerprints: Fingerprint[] = [];
        const clock = createSystemClock();
        const port = await startTarget(cleanup.add, (request) => {
            const limits = { clock, maxBytes: 1e9, deadline: clock.monotonic() + 10_000 };
            void Promise.resolve(receiveBody(request, limits)).then((body) => {
                if (either.isRight(body)) {
                    fingerprints.push(fingerprintRequest({ method: "POST", host: "a.example", path: "/deed" }, body.right));
                }
            });
        });
        const body = Buffer.alloc(2 * MAX_REPLAY_BYTES, "scan");
        const head = `POST /deed HTTP/1.1\r\nhost: a.example\r\ncontent-length: ${body.length}\r\n\r\n`;
        for (const firstPiece of [1, 700, 40_000]) {
            const socket = net.connect(port, LOOPBACK).on("error", () => undefined);
            cleanup.add(() => socket.destroy());
            socket.setNoDelay(true);
            socket.write(head);
            const sendRest = (): boolean => socket.write(body.subarray(firstPiece));
            socket.write(body.subarray(0, firstPiece), () => setTimeout(sendRest, 20));
        }
        await waitUntil(() => fingerprints.length === 3);

        expect(new Set(fingerprints).size).to.equal(1);
    });
});
