/** One answer of one worker has a header line with 60,000 spaces between two words. */
import { createFleet, createUsualManifest, judgeTimeouts, listMachines, runCase, sleep } from "../standins-2/fleet.mjs";

const TIMEOUT_MS = 2000;

runCase("6", async ({ isTroubled }) => {
    const fleet = await createFleet({
        recordFile: new URL("./record.txt", import.meta.url).pathname,
        machines: listMachines(),
        manifest: createUsualManifest(`${TIMEOUT_MS}ms`),
    });
    await fleet.start();
    const requests = [];
    const sendAll = () => fleet.machines.forEach((machine, index) => requests.push(fleet.send(machine, {
        host: "wills-desk.example", path: `/wills-desk/view${index}?work=90`, deadlineMs: 4000,
    })));
    const timer = setInterval(sendAll, 100);
    await sleep(3000);
    if (isTroubled) {
        fleet.machines[0].worker.send({ spoil: { fault: "spaces", left: 1 } });
    }
    await sleep(12_000);
    clearInterval(timer);
    const verdict = judgeTimeouts(await Promise.all(requests), TIMEOUT_MS);
    fleet.record({ verdict });
    console.log(JSON.stringify(verdict));
    await fleet.stop();
    return verdict.isBroken;
});
