"""Stand-ins for the platform, discovery, app servers and clients, as the protocol page describes them.

Only the standard library is used. Every address is a loopback address with a port that the system chooses.
"""
import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        try:
            print(text, flush=True)
        except OSError:
            pass  # Nobody reads standard output; the record has the line.


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class BadRequest(Exception):
    pass


async def read_head(reader):
    """A message's first line and headers (lower case); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


class AppServer:
    """Runs each request once its last byte has come, for `work` seconds, and answers 200."""

    def __init__(self, record, name, work=0.01):
        self.record, self.name, self.work = record, name, work
        self.runs = []          # (time, X-Txn, method, path, headers)
        self.port = None
        self.server = None
        self.known_ids = None   # where set: the ids that clients sent; another one is answered 400
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                line, headers = message
                method, path, _ = line.split(" ", 2)
                await read_body(reader, headers)
                await self.answer(writer, method, path, headers)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers):
        if path == "/-/healthy":
            return await self.respond(writer, "200 OK", b"")
        txn = headers.get("x-txn")
        if txn is None:
            return await self.respond(writer, "404 Not Found", b"")
        self.runs.append((self.record.now(), txn, method, path, headers))
        self.record.line(f"server {self.name}: request {txn} {method} {path}"
                         f" remaining={headers.get('x-remaining-ms')}")
        if self.known_ids is not None and txn not in self.known_ids:
            return await self.respond(writer, "400 Bad Request", b"")
        await asyncio.sleep(self.work)
        await self.respond(writer, "200 OK", f"{self.name} ran {txn}".encode())

    async def respond(self, writer, status, body):
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class Agent:
    """Discovery's agent: the whole list, and watches that get each change and an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.members = {}
        self.revision = 1
        self.changes = []       # (revision, entry)
        self.watches = []       # queues
        self.empty_lines = 0    # written on the watches
        self.told_at = None     # when the last `tell` was written
        self.port = None

    def put(self, server, phase="in_service"):
        entry = {"id": server.name, "host_port": f"127.0.0.1:{server.port}", "locality": "a", "flavor": "m2",
                 "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0}
        self.members[server.name] = entry
        return entry

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def delta(self, entries):
        return {"revision": self.revision, "complete": False, "members": entries}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                target = message[0].split(" ")[1]
                self.record.line(f"discovery: GET {target}")
                if "stream=1" not in target:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.write_chunk(writer, json.dumps(self.whole()).encode() + b"\n")
                await self.watch(writer)
                return
        except ConnectionError:
            pass
        finally:
            writer.close()

    @staticmethod
    def write_chunk(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def watch(self, writer):
        queue = asyncio.Queue()
        self.watches.append(queue)
        try:
            while True:
                try:
                    data = await asyncio.wait_for(queue.get(), 2.0)
                except asyncio.TimeoutError:
                    data = b"\n"
                    self.empty_lines += 1
                if data is None:
                    # The watch falls silent: the connection stays open and nothing more comes.
                    await asyncio.sleep(3600)
                self.write_chunk(writer, data)
                await writer.drain()
                if data != b"\n":
                    self.told_at = self.record.now()
        finally:
            self.watches.remove(queue)

    def tell(self, data):
        for queue in self.watches:
            queue.put_nowait(data)


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """In a new process: it is killed when the script ends, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Node:
    """A node, started as the platform starts it: with the `run` of the deploy file."""

    def __init__(self, record, agent, settings, sockets=1024, memory_mb=64, name="n0", folder=None):
        self.record, self.port, self.name = record, free_port(), name
        self.folder = folder or tempfile.mkdtemp(prefix="review-")
        self.path = os.path.join(self.folder, f"{name}.json")
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": agent.whole(), "settings": settings,
        }
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        env = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        env |= {"BALANCER_NAME": self.name, "BALANCER_LISTEN": self.config["listen"],
                "BALANCER_DISCOVERY": self.config["discovery"], "BALANCER_CONFIG": self.path,
                "TMPDIR": self.folder}
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=end_with_parent)
        for _ in range(300):
            try:
                status, _, _ = await ask(self.port, b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                if status == 200:
                    self.record.line(f"node {self.name}: ready")
                    return self
            except OSError:
                pass
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise RuntimeError("the node did not become ready")

    def signal(self, number):
        self.record.line(f"node {self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Connection:
    """A client's connection; one request at a time."""

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        return self

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self):
        """Status, headers and body; None if the connection ended without a whole answer."""
        try:
            message = await read_head(self.reader)
            if message is None:
                return None
            line, headers = message
            body = await read_body(self.reader, headers, is_response=True)
            return int(line.split(" ")[1]), headers, body
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
            return None

    def close(self):
        self.writer.close()


async def ask(port, data):
    connection = await Connection().open(port)
    try:
        await connection.send(data)
        answer = await connection.answer()
        if answer is None:
            raise ConnectionError("no answer")
        return answer
    finally:
        connection.close()


def request(txn, lane, remaining_ms, method="GET", key=None, body=b"", org=None):
    target = "/api" + (f"?key={key}" if key else "")
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"X-Txn: {txn}", f"X-Lane: {lane}",
             f"X-Remaining-Ms: {remaining_ms}"]
    if org:
        lines.append(f"X-Org: {org}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def settings(classes, group_size=2, **changes):
    """Settings in the form of the protocol page's example, for a small deployment."""
    value = {
        "group-size": group_size, "me": 0, "weight-source": "nominal", "worth-by": "work",
        "registry-mode": "push", "over-share-worth": 0.1, "classes": classes,
        "tenants": [{"name": "south-branches", "quota-per-s": 1300.0, "share": 0.62},
                    {"name": "north-branches", "quota-per-s": 800.0, "share": 0.38}],
        "domain": {"warm-keys": True},
        "bounds": {"dial-timeout": 150000, "keepalive": 10000000, "max-attempts": 4, "retry-after": True,
                   "max-retry-after": 2500000, "cancelling": True, "may-probe": True, "open-cap": 20000,
                   "second-copies": False, "peer-messages": False, "max-streams": 1},
        "rules": {"start-capacity": 0.3, "ramp-time": 9000000, "fall-multiple": 3.0, "overload-for": 2000000,
                  "stop-sending-within": 1500000, "answer-slack": 20000, "ask-within": 10000000},
    }
    for group, entries in changes.items():
        value[group] = value[group] | entries
    return value


HCM_CLASSES = [
    {"name": "job-sheet", "aim": 1500000, "deadline": 6000000, "semantics": "safe", "points": 5.0,
     "late-share": 0.0},
    {"name": "slot-check", "aim": 300000, "deadline": 1200000, "semantics": "safe", "points": 1.0,
     "late-share": 0.0},
    {"name": "stock-view", "aim": 750000, "deadline": 1500000, "semantics": "safe", "points": 2.0,
     "late-share": 0.0},
    {"name": "job-close", "aim": 1000000, "deadline": 5000000, "semantics": "unsafe", "points": 2.0,
     "late-share": 0.0},
]


class Void(Exception):
    """The case could not run."""


def run_case(folder, play, limit_s=100):
    """Plays a case: `play(record, trouble, nodes)` returns the list of breaks. Exits with 1 if there are any,
    0 if there are none and 2 if the case could not run. Ends all nodes."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    nodes = []

    async def whole():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await play(record, trouble, nodes)
        finally:
            for node in nodes:
                await node.stop()
            for node in nodes:
                with open(os.path.join(node.folder, f"{node.name}.log"), encoding="utf-8") as file:
                    for line in file:
                        record.line(f"log of {node.name}: {line.rstrip()}")
                shutil.rmtree(node.folder, ignore_errors=True)

    try:
        breaks = asyncio.run(whole())
    except BaseException as error:  # Whatever stopped the case: its result is void.
        record.say(f"void: {type(error).__name__}: {error}")
        os._exit(2)
    for text in breaks:
        record.say(f"BREAK {text}")
    record.say(f"{'with' if trouble else 'without'} the disruption: {len(breaks)} breaks")
    os._exit(1 if breaks else 0)
