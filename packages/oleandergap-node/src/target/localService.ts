/** The service of the local target, according to the configuration table and the target directory. */
import type { NodeId, ServiceReference, ServiceRow, TableView } from "oleandergap-types";
import { listOwners } from "../gateway/ownerRouting.js";
import { listServingZones } from "../gateway/targetLookup.js";
import type { RequestPath, RequestPathDependencies } from "../requestPathTypes.js";
import type { LocalTargetManager } from "./localTargetManager.js";

/** Returns the table's row of a service; undefined if the table has no such row. */
export const findServiceRow = (view: TableView, { partner, service }: ServiceReference): ServiceRow | undefined =>
    view.get(partner)?.services.get(service);

/** The service of the local target, and the nodes whose targets provide it. */
export interface LocalService {
    /** Returns the service of the local target; empty while there is no target. */
    readonly services: () => readonly ServiceReference[];
    /** Returns the nodes whose targets accept requests for a service. */
    readonly listMembers: (service: ServiceReference) => readonly NodeId[];
    readonly hasSubstitute: RequestPath["hasSubstitute"];
}

/** Creates a view of the local target's service. Each call reads the target that is current at that time. */
export const createLocalService = (
    { options, view, directory }: RequestPathDependencies,
    target: LocalTargetManager,
): LocalService => {
    const services: LocalService["services"] = () => {
        const announcement = target.current()?.announcement;
        return announcement === undefined ? [] : [{ partner: announcement.partner, service: announcement.service }];
    };
    const listMembers: LocalService["listMembers"] = (service) => {
        const table = view().get(service.partner);
        const row = findServiceRow(view(), service);
        return table === undefined || row === undefined ?
            [] :
            listOwners(directory.targetsOf(service, listServingZones(table, row)));
    };
    const hasSubstitute = (): boolean =>
        services().every((service) => listMembers(service).some((node) => node !== options.nodeId));
    return { services, listMembers, hasSubstitute };
};

/** Creates the lookup of a caller's service by the caller's address; the result is undefined if it is unknown. */
export const createCallerServiceLookup = (
    { callerService }: RequestPathDependencies,
    target: LocalTargetManager,
) => (address: string | undefined): ServiceReference | undefined => {
    if (callerService !== undefined) {
        return callerService;
    }
    const announcement = target.current()?.announcement;
    return announcement !== undefined && announcement.address === address ? announcement : undefined;
};
