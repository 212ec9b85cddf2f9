/** Context that each procedure receives in addition to its input. */
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import type { Logger } from "oleandergap-logger";
import type { Clock } from "oleandergap-types";
import type { CredentialError } from "../credentials/credentialChecker.js";
import type { OperatorIdentity } from "../credentials/identity.js";
import type { ChangePort, FleetPort, RolloutPort, TablePort } from "../ports.js";

/** Services of the node that the procedures use. They are shared by all requests. */
export interface OperatorServices {
    readonly changeService: ChangePort;
    readonly tables: TablePort;
    readonly fleet: FleetPort;
    readonly rollouts: RolloutPort;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Context of one request. */
export interface OperatorContext extends OperatorServices {
    /** The authenticated operator. A context is created only after authentication. */
    readonly identity: OperatorIdentity;
    /** Confirms the credential with a new read from the platform. This is required before a change. */
    readonly confirmIdentity: (signal: AbortSignal) => TaskEither<CredentialError, OperatorIdentity>;
    /** Aborts when the request times out or the node stops. */
    readonly signal: AbortSignal;
}
