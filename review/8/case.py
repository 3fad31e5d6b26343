"""Kept connections that rest while the limits change judge their next request by the old limits."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins  # noqa: E402
from standins import BOUNDS, HOST, KEY, Deployment, configuration, route  # noqa: E402

CONNECTIONS = 30
SMALL_BODY, LARGE_BODY = b"x" * 600, b"x" * 3600
OLD_LIMIT, NEW_LIMIT = 1000, 4194304


def document(version, max_body_bytes):
    made = configuration(version, [route("r-bids", "/bids/", "unsafe", "ledger", attempts=1)])
    made["limits"]["max_body_bytes"] = max_body_bytes
    return made


async def post(connection, body):
    reader, writer = connection
    request_id = standins.new_id()
    writer.write(standins.request_bytes("POST", "/bids/1", [
        ("Host", HOST), ("X-Request-Id", request_id), ("X-Request-Deadline", "2500"),
        ("Authorization", f"Bearer {KEY}")], body))
    async with asyncio.timeout(5):
        return (await standins.read_message(reader)).status


async def case(record, trouble):
    async with Deployment(record) as deployment:
        await deployment.add_server("ledger")
        # without the change, the later limits hold from the start
        got = await deployment.put(document(7, OLD_LIMIT if trouble else NEW_LIMIT))
        if got is None or got.status != 200:
            raise standins.CannotRun("version 7 was not acknowledged")
        await deployment.wait_ready()
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
        connections = []
        for at in range(CONNECTIONS):
            host, port = deployment.fronts[at % len(deployment.fronts)].front.split(":")
            connections.append(await asyncio.open_connection(host, int(port)))
            if await post(connections[-1], SMALL_BODY) != 200:
                raise standins.CannotRun("a small request was not served")
        if trouble:
            got = await deployment.put(document(8, NEW_LIMIT))
            record("operator", sent="version 8, larger max_body_bytes", status=got and got.status)
            if got is None or got.status != 200:
                raise standins.CannotRun("version 8 was not acknowledged")
        # all requests are sent later than this after the acknowledgement
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 2)
        statuses = [await post(connection, LARGE_BODY) for connection in connections]
        record("client", sent=len(statuses), body_bytes=len(LARGE_BODY), statuses=statuses)
        fresh = []
        for front in deployment.fronts:
            got = await standins.request(front.front, "/bids/1", body=LARGE_BODY)
            fresh.append(got and got.status)
        record("client", on="new connections", statuses=fresh)
        for _, writer in connections:
            writer.close()
        denied = sum(300 <= each < 500 and each not in (408, 421, 429) for each in statuses)
        requests = 2 * CONNECTIONS + len(fresh)
        record("judged", denied=denied, allowed=5 + requests / 500)
        return denied > 5 + requests / 500


standins.main(case, FOLDER)
