"""A first configuration with version 0 is acknowledged, but never in force."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins  # noqa: E402
from standins import BOUNDS, Deployment, configuration, request, route  # noqa: E402

READS = 10


async def case(record, trouble):
    version = 0 if trouble else 1
    async with Deployment(record) as deployment:
        await deployment.add_server("ledger")
        got = await deployment.put(
            configuration(version, [route("r-bids", "/bids/", "unsafe", "ledger", attempts=1)]))
        record("operator", sent=f"version {version}", status=got and got.status)
        if got is None:
            raise standins.CannotRun("the first configuration got no clear answer")
        if got.status != 200:
            return False    # it was refused, so nothing was promised
        await deployment.wait_ready()
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 2)
        held = None
        for attempt in range(READS):
            core = deployment.cores[attempt % len(deployment.cores)]
            got = await deployment.follow(core.control, "GET")
            record("operator", read=core.name, status=got and got.status)
            if got is not None and got.status == 200:
                held = got
                break
            await asyncio.sleep(BOUNDS["contact_ms"] / 1000 / READS)
        statuses = []
        for front in deployment.fronts:
            got = await request(front.front, "/bids/1")
            statuses.append(got and got.status)
        record("client", statuses=statuses)
        return held is None or 404 in statuses


standins.main(case, FOLDER)
