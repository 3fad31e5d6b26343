"""Stand-ins of the platform, its servers, its clients and its operator, after PROTOCOL.md."""
import asyncio
import json
import random

from deployment import CannotRun


class Broken(Exception):
    """A connection ended before a whole message."""


async def read_head(reader):
    """Returns the first line and the fields (lower-case names, in order), or None at a clean end."""
    first = await reader.readline()
    if not first:
        return None
    fields = []
    while True:
        line = await reader.readline()
        if not line:
            raise Broken("inside a head")
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").strip(), fields
        name, _, value = line.decode("latin-1").partition(":")
        fields.append((name.strip().lower(), value.strip()))


def field(fields, name, default=""):
    return next((value for key, value in fields if key == name), default)


async def read_body(reader, fields, on_bytes=None, to_end=False):
    body = b""
    if "chunked" in field(fields, "transfer-encoding").lower():
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise Broken("inside chunks")
            size = int(line.split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
            if on_bytes:
                on_bytes(piece[:-2])
    length = field(fields, "content-length", None)
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if to_end else b""


def head_bytes(first, fields):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
            + "\r\n").encode("latin-1")


async def listen(handler, host, port=0):
    async def serve(reader, writer):
        try:
            await handler(reader, writer)
        except (Broken, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


# ---- the platform ----

class Platform:
    """The list of servers, usage reports and numbers of servers ordered."""

    def __init__(self, record):
        self.record = record
        self.servers = []
        self.usage = []    # (holder, fence, window, counts)
        self.scales = []

    async def start(self, host):
        self.server, port = await listen(self.handle, host)
        self.address = f"{host}:{port}"

    async def handle(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            first, fields = head
            body = await read_body(reader, fields)
            method, target, _ = first.split(" ", 2)
            status, answer = self.answer(method, target.split("?")[0], fields, body)
            text = json.dumps(answer).encode()
            writer.write(head_bytes(f"HTTP/1.1 {status} OK",
                                    [("Content-Type", "application/json"),
                                     ("Content-Length", str(len(text)))]) + text)
            await writer.drain()

    def answer(self, method, path, fields, body):
        if (method, path) == ("GET", "/instances"):
            return 200, {"instances": [one.row() for one in self.servers if one.listed],
                         "next": None}
        duty = (field(fields, "x-duty-holder"), field(fields, "x-fence-token"))
        if (method, path) == ("POST", "/usage"):
            report = json.loads(body)
            self.usage.append((*duty, report["window_id"], report["counts"]))
            return 200, {}
        if (method, path) == ("POST", "/scale"):
            self.scales.append((*duty, json.loads(body)))
            return 409, {}
        return 404, {}


# ---- servers ----

class Request:
    def __init__(self, connection, method, target, fields, body):
        self.connection = connection
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.id = field(fields, "x-request-id")

    def header(self, name, default=""):
        return field(self.fields, name, default)


class Server:
    """One server. `work` is called for each request that it accepts, and writes the answer."""

    def __init__(self, record, service, zone, host, work, slots=16, version="v1", engine=False):
        self.record = record
        self.service = service
        self.zone = zone
        self.host = host
        self.work = work
        self.slots = slots
        self.version = version
        self.engine = engine
        self.id = f"i-{random.getrandbits(32):08x}"
        self.listed = True
        self.state = "ready"
        self.running = 0
        self.runs = {}  # request id -> number of runs

    async def start(self):
        self.server, self.port = await listen(self.handle, self.host)
        self.address = f"{self.host}:{self.port}"

    def row(self):
        row = {"id": self.id, "service": self.service, "address": self.address, "zone": self.zone,
               "version": self.version, "slots": self.slots, "state": self.state,
               "cold_remaining_ms": 0}
        if self.engine:
            row.update(stage="decode", models=[{"name": "m", "version": 1, "adapters": []}])
        return row

    def fields(self, request, length=None):
        out = [("X-Request-Id", request.id), ("X-Server-Seal", f"seal.{self.id}.{request.id}")]
        if length is not None:
            out.append(("Content-Length", str(length)))
        return out

    def began(self, request):
        self.runs[request.id] = self.runs.get(request.id, 0) + 1
        self.record.line(f"server {self.id} runs {request.id} (run {self.runs[request.id]} here)")

    async def refuse(self, request, writer, status, reason):
        """The server's word that it did not and will not run the request."""
        self.record.line(f"server {self.id} rejects {request.id} with {status}: {reason}")
        writer.write(self.rejection(request, status))
        await writer.drain()

    def rejection(self, request, status):
        return head_bytes(f"HTTP/1.1 {status} Rejected",
                          [("X-Request-Id", request.id), ("X-Not-Executed", "1"),
                           ("Content-Length", "0")])

    async def handle(self, reader, writer):
        connection = {"number": random.getrandbits(32)}
        while True:
            head = await read_head(reader)
            if head is None:
                return
            first, fields = head
            body = await read_body(reader, fields)
            method, target, _ = first.split(" ", 2)
            request = Request(connection, method, target, fields, body)
            if not request.id:
                await self.refuse(request, writer, 400, "no id")
            elif request.header("x-expect-instance", self.id) != self.id:
                await self.refuse(request, writer, 421, "another server is expected")
            else:
                await self.work(self, request, writer)


async def answer_plainly(server, request, writer, work_ms=20, size=200):
    """Runs a request of a plain service."""
    server.began(request)
    await asyncio.sleep(work_ms / 1000)
    body = (f"{request.method} {request.target} {request.id} ".encode() + b"." * size)
    answer = head_bytes("HTTP/1.1 200 OK", server.fields(request, len(body))) + body
    writer.write(answer)
    await writer.drain()
    return answer


async def stream_events(server, request, writer, events, gap_ms):
    """Runs a streamed request; events are numbered from 1, and go on after Last-Event-Id."""
    server.began(request)
    first = int(request.header("last-event-id", "0") or 0) + 1
    writer.write(head_bytes("HTTP/1.1 200 OK", server.fields(request)
                            + [("Content-Type", "text/event-stream"),
                               ("Transfer-Encoding", "chunked")]))
    for number in range(first, events + 1):
        last = " last" if number == events else ""
        event = f"id: {number}\ndata: piece {number} of {request.id}{last}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(gap_ms / 1000)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


# ---- the operator ----

async def exchange(address, method, target, fields=(), body=b"", timeout=5):
    host, _, port = address.rpartition(":")

    async def talk():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            sent = [("Host", address), ("Content-Length", str(len(body)))] + list(fields)
            writer.write(head_bytes(f"{method} {target} HTTP/1.1", sent) + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise Broken("no answer")
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1], to_end=True)
        finally:
            writer.close()

    return await asyncio.wait_for(talk(), timeout)


async def put_config(record, deployment, config, tries=60):
    """Sends a configuration until it is acknowledged, to one control machine after the other."""
    body = json.dumps(config).encode()
    for number in range(tries):
        machine = deployment.controls[number % len(deployment.controls)]
        try:
            status, _, answer = await exchange(machine.address("control"), "PUT", "/config",
                                               [("Content-Type", "application/json")], body, 3)
        except (OSError, Broken, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.3)
            continue
        if status == 200:
            record.line(f"operator: version {config['version']} acknowledged by {machine.name}")
            return
        if status in (400, 409, 412, 413, 422):
            raise CannotRun(f"the configuration was refused with {status}: {answer!r}")
        await asyncio.sleep(0.3)
    raise CannotRun("the configuration was never acknowledged")


async def wait_ready(record, deployment, limit_s=30):
    """Waits until every entry answers its readiness check with 200."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    for machine in deployment.entries:
        while True:
            try:
                if (await exchange(machine.address("readiness"), "GET", "/readiness", timeout=2))[0] == 200:
                    break
            except (OSError, Broken, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            if loop.time() > end:
                raise CannotRun(f"{machine.name} is not ready")
            await asyncio.sleep(0.2)
    record.line("every entry is ready")


# ---- clients ----

class Answer:
    """What a client saw of one attempt."""

    def __init__(self, request_id):
        self.id = request_id
        self.sent_at = None
        self.status = None
        self.fields = []
        self.body = b""
        self.complete = False
        self.ended_at = None
        self.problem = ""

    def header(self, name, default=""):
        return field(self.fields, name, default)


class Connection:
    """A client's connection to one entry, kept for several requests."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.writer = None
        self.closed = False

    async def open(self):
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)

    def close(self):
        self.closed = True
        if self.writer:
            self.writer.close()

    async def send(self, request_id, method, target, host, fields=(), body=b"", timeout_s=20):
        """Sends one request and reads its answer to the end; never raises for a broken answer."""
        answer = Answer(request_id)
        answer.sent_at = self.record.now()

        async def talk():
            sent = [("Host", host), ("X-Request-Id", request_id)] + list(fields)
            if body or method != "GET":
                sent.append(("Content-Length", str(len(body))))
            self.record.line(f"client sends {request_id} to {self.address}: {method} {target}")
            self.writer.write(head_bytes(f"{method} {target} HTTP/1.1", sent) + body)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                raise Broken("closed without an answer")
            answer.status = int(head[0].split(" ")[1])
            answer.fields = head[1]

            def keep(piece):
                answer.body += piece

            whole = await read_body(self.reader, head[1], on_bytes=keep, to_end=True)
            answer.body = whole
            answer.complete = True
            if "close" in answer.header("connection").lower():
                self.close()

        try:
            await asyncio.wait_for(talk(), timeout_s)
        except (OSError, Broken, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as problem:
            answer.problem = f"{type(problem).__name__} {problem}"
            self.close()
        answer.ended_at = self.record.now()
        outcome = "whole" if answer.complete else f"NOT WHOLE ({answer.problem})"
        self.record.line(f"client got {request_id}: status {answer.status}, {len(answer.body)} bytes, {outcome}")
        return answer
