"""A configuration that takes the last tenant away opens every route to every key."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins  # noqa: E402
from standins import BOUNDS, KEY, Deployment, configuration, request, route  # noqa: E402

UNKNOWN_KEY = "no-configuration-ever-held-this"


def document(version, tenants):
    made = configuration(
        version, [route("r-bids", "/bids/", "unsafe", "ledger", attempts=1)])
    made["tenants"] = tenants
    return made


async def runs_with(deployment, server, key, name, record):
    """Sends one request to each front machine. Returns how many of them ran."""
    ran = 0
    for front in deployment.fronts:
        got = await request(front.front, "/bids/1", key=key)
        if got is None:
            raise standins.CannotRun("a request got no answer")
        here = sum(run[1] == got.id for run in server.runs)
        record("client", front=front.name, key=name, status=got.status, ran=here)
        ran += here
    return ran


async def case(record, trouble):
    tenant = {"name": "huka270", "api_keys": [KEY], "priority": 1}
    async with Deployment(record) as deployment:
        server = await deployment.add_server("ledger")
        got = await deployment.put(document(7, [tenant]))
        if got is None or got.status != 200:
            raise standins.CannotRun("version 7 was not acknowledged")
        await deployment.wait_ready()
        if not await runs_with(deployment, server, KEY, "held", record):
            raise standins.CannotRun("requests with the key are not served")
        if trouble:
            got = await deployment.put(document(8, []))
            record("operator", sent="version 8, without the tenant", status=got and got.status)
            if got is None or got.status != 200:
                return False    # the key was not taken away
        await asyncio.sleep(max(BOUNDS["config_apply_ms"], BOUNDS["revoke_ms"]) / 1000 + 1)
        withdrawn = await runs_with(deployment, server, KEY, "withdrawn" if trouble else "held",
                                    record)
        unknown = await runs_with(deployment, server, UNKNOWN_KEY, "unknown", record)
        return unknown > 0 or (trouble and withdrawn > 0)


standins.main(case, FOLDER)
