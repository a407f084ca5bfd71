"""A new replica that control has not heard of yet acknowledges commits as a primary is replaced."""
import asyncio, json, os, sys, time
FOLDER = os.path.dirname(os.path.abspath(__file__))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES, SESSIONS = 3, 97  # sessions for each service; the site has 292 for three


async def main():
    record = Record(FOLDER)
    fleet = Fleet(record)
    stop = asyncio.Event()
    try:
        await fleet.start()
        # The primaries are in south-a, 12 ms away from the region of the others.
        groups = await start_services(fleet, SERVICES, ((ZONES[2], 0.012), (ZONES[0], 0.012),
                                                        (ZONES[1], 0.012)))
        await asyncio.sleep(3)
        sessions = [asyncio.create_task(transact(
            Client(record, fleet.fronts()[n % 3], DATABASE + str(index)), group, stop))
            for index, group in enumerate(groups) for n in range(SESSIONS)]
        await asyncio.sleep(3)
        if any(len(group.acknowledged) < 100 for group in groups):
            raise NotRun("too few commits were acknowledged")
        # The primaries are to be replaced: the new servers start first, in the same zone, and are
        # replicas like the others. A partition cuts two of them off from control for their first
        # seconds.
        added = [Server(group, "i-nnnn%d" % n, ZONES[2], fleet.server_ip, 0.0001)
                 for n, group in enumerate(groups)]
        for server in added:
            server.beats = not (TROUBLE and server in added[:2])
            await server.start(fleet.control)
            record("%s is %s control" % (server.id, "connected to" if server.beats
                                         else "cut off from"))
        await asyncio.sleep(1)
        record("the primaries are draining")
        for other in groups:
            other.primary.state = "draining"
        for server in added:
            asyncio.get_running_loop().call_later(3, setattr, server, "beats", True)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(group.promotions for group in groups):
                break
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*sessions)
        if fleet.ended():
            raise NotRun("processes ended: %s" % fleet.ended())
        if not all(group.promotions for group in groups):
            raise NotRun("no server was promoted")
        lost = sum(len(group.lost) for group in groups)
        text = "promoted %s, acknowledged %d, lost %d" % (
            [group.promotions for group in groups],
            sum(len(group.acknowledged) for group in groups), lost)
        record(text)
        print(text)
        return RULE_BROKEN if lost else RULE_HELD
    except NotRun as error:
        record("could not run: %s" % error)
        print("could not run:", error)
        return NOT_RUN
    finally:
        fleet.stop(keep="KEEP" in os.environ)


sys.exit(run_case(main))
