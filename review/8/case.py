"""One invalid configuration, with a version below zero, hides all later configurations."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins  # noqa: E402
from standins import BOUNDS, KEY, Deployment, configuration, request, route  # noqa: E402

KEPT_KEY = "s989anu6wsjnbanfqasn"


def document(version, keys):
    return configuration(
        version, [route("r-bids", "/bids/", "unsafe", "ledger", attempts=1)],
        tenants=[{"name": "huka270", "api_keys": keys, "priority": 1}])


async def case(record, trouble):
    async with Deployment(record) as deployment:
        server = await deployment.add_server("ledger")
        got = await deployment.put(document(7, [KEY, KEPT_KEY]))
        if got is None or got.status != 200:
            raise standins.CannotRun("version 7 was not acknowledged")
        await deployment.wait_ready()
        if trouble:
            got = await deployment.put(document(-1, [KEY, KEPT_KEY]))
            record("operator", sent="version -1", status=got and got.status)
        got = await deployment.put(document(8, [KEPT_KEY]))
        record("operator", sent="version 8, without one key", status=got and got.status)
        if got is None or got.status != 200:
            return False    # nothing was promised
        await asyncio.sleep(max(BOUNDS["config_apply_ms"], BOUNDS["revoke_ms"]) / 1000 + 1)
        held = await deployment.read_config()
        if held is None:
            raise standins.CannotRun("no control node answers a read")
        record("operator", read_back=held["version"])
        ran = 0
        for front in deployment.fronts:
            got = await request(front.front, "/bids/1", key=KEY)
            ran += sum(run[1] == got.id for run in server.runs) if got else 0
            record("client", front=front.name, withdrawn_key="used",
                   status=got and got.status, ran_so_far=ran)
        return held["version"] != 8 or ran > 0


standins.main(case, FOLDER)
