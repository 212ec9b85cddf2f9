/** Read access of operators to the accepted versions and the versions in force. */
import * as either from "fp-ts/lib/Either.js";
import { createEmptyDocument } from "oleandergap-configuration";
import type { TablePort } from "oleandergap-operator";
import type { ControlPlane } from "../createControlPlane.js";

export const createOperatorTables = ({ store, source, spread }: ControlPlane): TablePort => ({
    isReady: spread.isReady,
    inForce: store.document,
    listServices: (partner) => [...store.getTables().get(partner)?.services.keys() ?? []],
    accepted: (partner, signal) => async () => {
        const document = await source.readDocument(partner, signal)();
        return either.isLeft(document) ? document : either.right(document.right ?? createEmptyDocument(partner));
    },
    acceptedHeads: (signal) => source.readHeads(store.heads().map(({ partner }) => partner), signal),
});
