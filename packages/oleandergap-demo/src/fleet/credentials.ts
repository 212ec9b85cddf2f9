/** Creates operator credentials. The secret is written to a file, its hash to the table of the platform. */
import * as either from "fp-ts/lib/Either.js";
import { formatOperatorKey, generateCredential, hashCredential } from "oleandergap-operator";
import type { PartnerName, TableService } from "oleandergap-types";
import type { PartnerPlan } from "../plan/fleetPlan.js";
import type { FleetFiles } from "./fleetFiles.js";

/** Access data of an operator. The credential is never printed or logged. */
export interface OperatorAccess {
    readonly partner: PartnerName;
    readonly operator: string;
    readonly credential: string;
    readonly credentialFile: string;
}

/** Creates and stores the credential of a partner's operator. Rejects if the platform does not accept it. */
export const createOperatorAccess = async (
    { partner, operator }: PartnerPlan,
    tableService: Pick<TableService, "transact">,
    files: FleetFiles,
    signal: AbortSignal,
): Promise<OperatorAccess> => {
    const credential = generateCredential();
    const credentialFile = await files.writeSecret(`${partner}.credential`, credential);
    const writeResult = await tableService.transact([{
        kind: "Put",
        key: formatOperatorKey(hashCredential(credential)),
        condition: { kind: "Any" },
        value: { partner, operator },
    }], signal)();
    if (either.isLeft(writeResult)) {
        throw new Error(`the platform did not accept the credential of ${partner}: ${writeResult.left.kind}`);
    }
    return { partner, operator, credential, credentialFile };
};
