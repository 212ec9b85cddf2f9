/** What a node knows of the service of its own target, by the table and by what other nodes tell. */
import type { NodeId, ServiceReference, ServiceRow, TableView } from "oleandergap-types";
import { listOwners } from "../gateway/ownerRouting.js";
import { listServingZones } from "../gateway/targetLookup.js";
import type { RequestPath, RequestPathDependencies } from "../requestPathTypes.js";
import type { TargetKeeper } from "./targetKeeper.js";

/** The table's row of a service; undefined when it has none. */
export const findRow = (view: TableView, { partner, service }: ServiceReference): ServiceRow | undefined =>
    view.get(partner)?.services.get(service);

/** The service of the own target, and the nodes that serve it as well. */
export interface OwnService {
    /** Empty while there is no target. */
    readonly services: () => readonly ServiceReference[];
    /** Nodes whose targets of a service take requests. */
    readonly listMembers: (service: ServiceReference) => readonly NodeId[];
    readonly hasSubstitute: RequestPath["hasSubstitute"];
}

/** The service of `target`, whatever it is at the time of a question. */
export const createOwnService = (
    { options, view, directory }: RequestPathDependencies,
    target: TargetKeeper,
): OwnService => {
    const services: OwnService["services"] = () => {
        const announcement = target.current()?.announcement;
        return announcement === undefined ? [] : [{ partner: announcement.partner, service: announcement.service }];
    };
    const listMembers: OwnService["listMembers"] = (service) => {
        const table = view().get(service.partner);
        const row = findRow(view(), service);
        return table === undefined || row === undefined ?
            [] :
            listOwners(directory.targetsOf(service, listServingZones(table, row)));
    };
    const hasSubstitute = (): boolean =>
        services().every((service) => listMembers(service).some((node) => node !== options.nodeId));
    return { services, listMembers, hasSubstitute };
};

/** The service of the caller at an address, as far as it is known. */
export const createCallerLookup = (
    { callerService }: RequestPathDependencies,
    target: TargetKeeper,
) => (address: string | undefined): ServiceReference | undefined => {
    if (callerService !== undefined) {
        return callerService;
    }
    const announcement = target.current()?.announcement;
    return announcement !== undefined && announcement.address === address ? announcement : undefined;
};
