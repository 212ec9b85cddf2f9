/**
 * Borrows from other zones what a zone lacks of a customer's quota. Loans between zones are short, so that demand that
 * moves finds its share again soon, and exist only for customers that some zone is short of.
 */
import { formatCustomerReference, type Clock, type Milliseconds, type ZoneName } from "oleandergap-types";
import { splitIntoChunks } from "oleandergap-utils";
import { MAX_ENTRIES, type Borrow, type BorrowRequest, type Lend, type ZoneLoan } from "./quotaMessage.js";
import type { QuotaNetwork, QuotaPeer } from "./quotaNetwork.js";

/** Duration of a loan between zones, from the sending of the request for it. */
export const ZONE_LOAN_MS: Milliseconds = 400;
/** Interval at which a loan is requested and renewed. */
const BORROW_INTERVAL_MS: Milliseconds = 150;
/** Time for an answer, after which another node of the zone is asked. */
const ANSWER_WITHIN_MS: Milliseconds = 100;

export interface ZoneLoansDependencies {
    readonly clock: Pick<Clock, "monotonic" | "after">;
    readonly network: Pick<QuotaNetwork, "self" | "otherZones" | "send">;
    /** Uses what was lent, until `endsAt`. */
    readonly receive: (lender: QuotaPeer, loan: ZoneLoan, endsAt: Milliseconds) => void;
}

export interface ZoneLoans {
    /** Asks the other zones for the customers that were not asked for recently, and returns whether there are any. */
    readonly borrow: (requests: readonly BorrowRequest[]) => boolean;
    readonly receiveLend: (from: QuotaPeer, lend: Lend) => void;
}

interface SentBorrow {
    readonly zone: ZoneName;
    readonly sentAt: Milliseconds;
}

export const createZoneLoans = ({ clock, network, receive }: ZoneLoansDependencies): ZoneLoans => {
    const askedAt = new Map<string, Milliseconds>();
    const owners = new Map<ZoneName, QuotaPeer>();
    const sent = new Map<number, SentBorrow>();
    let nextId = 0;

    const isDue = (request: BorrowRequest): boolean => {
        const latestAt = askedAt.get(formatCustomerReference(request)) ?? Number.NEGATIVE_INFINITY;
        return clock.monotonic() - latestAt >= BORROW_INTERVAL_MS;
    };

    const forgetOld = (): void => {
        const now = clock.monotonic();
        for (const [key, at] of askedAt) {
            if (now - at >= BORROW_INTERVAL_MS) {
                askedAt.delete(key);
            }
        }
    };

    const send = (zone: ZoneName, to: QuotaPeer, requests: Borrow["requests"]): void => {
        const id = nextId++;
        const { id: node, zone: origin, address, controlPort } = network.self;
        sent.set(id, { zone, sentAt: clock.monotonic() });
        network.send(to, {
            kind: "Borrow", id, borrower: { id: node, zone: origin, address, controlPort }, isForwarded: false, requests,
        });
        clock.after(ANSWER_WITHIN_MS, () => {
            if (sent.delete(id)) {
                owners.delete(zone);
            }
        });
    };

    return {
        borrow: (requests) => {
            forgetOld();
            const due = requests.filter(isDue);
            due.forEach((request) => askedAt.set(formatCustomerReference(request), clock.monotonic()));
            for (const { zone, contacts } of network.otherZones()) {
                const to = owners.get(zone) ?? contacts[nextId % Math.max(1, contacts.length)];
                if (to !== undefined) {
                    splitIntoChunks(due, MAX_ENTRIES).forEach((chunk) => send(zone, to, chunk));
                }
            }
            return due.length > 0;
        },
        receiveLend: (from, { id, loans }) => {
            const borrow = sent.get(id);
            if (borrow === undefined || borrow.zone !== from.zone) {
                return;
            }
            sent.delete(id);
            owners.set(borrow.zone, from);
            loans.forEach((loan) => receive(from, loan, borrow.sentAt + ZONE_LOAN_MS));
        },
    };
};
