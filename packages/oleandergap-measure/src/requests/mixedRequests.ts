/** Request mixes of the experiments with faults: reads, and writes that must not run twice. */
import type { CallRequest } from "oleandergap-standins";
import type { Milliseconds } from "oleandergap-types";
import { createMeasuredPost, createMeasuredRead, createMeasuredUpload, createUnkeyedPost } from "./serviceFleet.js";

/** Size of an upload in bytes. */
const UPLOAD_BYTES = 1024 * 1024;
const WRITE_KINDS = 2;
/** One in this many requests is an upload, because an upload costs as much as hundreds of reads. */
const REQUESTS_PER_UPLOAD = 20;

/** Creates requests of which a third each are reads, POSTs with a key and POSTs without one. */
export const createReadOrPost = (name: string, timeoutMs: Milliseconds) => (index: number): CallRequest => {
    switch (index % (WRITE_KINDS + 1)) {
        case 0:
            return createMeasuredRead(`${name}-read`, index, timeoutMs);
        case 1:
            return createMeasuredPost(`${name}-post`, index, timeoutMs);
        default:
            return createUnkeyedPost(`${name}-unkeyed`, index, timeoutMs);
    }
};

/** Creates reads and POSTs with a key in equal parts, and occasional uploads. */
export const createReadPostOrUpload = (name: string, timeoutMs: Milliseconds): (index: number) => CallRequest => {
    const body = Buffer.alloc(UPLOAD_BYTES, "deed ");
    return (index) => {
        if (index % REQUESTS_PER_UPLOAD === 0) {
            return createMeasuredUpload(`${name}-upload`, index, timeoutMs, body);
        }
        return index % 2 === 0 ?
            createMeasuredRead(`${name}-read`, index, timeoutMs) :
            createMeasuredPost(`${name}-post`, index, timeoutMs);
    };
};
