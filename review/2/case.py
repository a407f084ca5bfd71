"""A DELETE that a partition held up arrives after its sender has started again under its id."""
import asyncio, json, os, sys, time
FOLDER = os.path.dirname(os.path.abspath(__file__))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES, SESSIONS = 3, 45  # sessions for each service


async def main():
    record = Record(FOLDER)
    fleet = Fleet(record)
    stop = asyncio.Event()
    try:
        await fleet.start()
        groups = await start_services(fleet, SERVICES)
        await asyncio.sleep(3)
        sessions = [asyncio.create_task(transact(
            Client(record, fleet.fronts()[n % 3], DATABASE + str(index)), group, stop))
            for index, group in enumerate(groups) for n in range(SESSIONS)]
        await asyncio.sleep(3)
        if any(len(group.acknowledged) < 100 for group in groups):
            raise NotRun("too few commits were acknowledged")
        # The b of two services is restarted as planned: it drains, says that it leaves, ends and
        # starts again. drain_ms is 7 s.
        leaving = [groups[n].servers["i-bbbb%d" % n] for n in (0, 1)]
        for server in leaving:
            server.state = "draining"
        await asyncio.sleep(8)
        links = [Link(node) for node in fleet.control()]
        for link in links:
            await link.start(fleet.server_ip)
            if TROUBLE:
                link.open.clear()
        await asyncio.gather(*[restart_cut_off(server, fleet, links, TROUBLE)
                               for server in leaving])
        await asyncio.sleep(0.7)  # the partition has healed: the new heartbeats arrive,
        for link in links:        # and what it held up is sent again
            link.open.set()
        record("the partition has healed")
        await asyncio.sleep(5)
        # The primaries are to be replaced: they drain, and the system promotes others.
        for group in groups:
            group.primary.state = "draining"
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
