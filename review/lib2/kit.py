"""What the cases of the second review share: the node, the registry and the agent as separate processes,
and small stand-ins for clients, app servers and discovery. Every address is a loopback address."""

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


PR_SET_PDEATHSIG = 1


class CouldNotRun(Exception):
    pass


def end_with_the_script():
    """Runs in a new process: it is killed if the script is."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Case:
    """Writes `record.txt`, holds the temporary folder and ends all processes at the end."""

    def __init__(self, folder):
        self.record_file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.temp = tempfile.mkdtemp(prefix="review2-")
        self.start = time.monotonic()
        self.processes = []
        self.note("case", f"TROUBLE={1 if TROUBLE else 0}")

    def now(self):
        return time.monotonic() - self.start

    def note(self, who, text):
        self.record_file.write(f"{self.now():9.4f} {who}: {text}\n")

    def spawn(self, name, command, env=None, shell=False):
        log = open(os.path.join(self.temp, f"{name}.{len(self.processes)}.log"), "w+")
        base = {"PATH": os.environ.get("PATH", ""), "TMPDIR": self.temp, "HOME": self.temp}
        base.update(env or {})
        process = subprocess.Popen(["/bin/sh", "-c", command] if shell else command, cwd=ROOT, env=base,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
                                   preexec_fn=end_with_the_script)
        process.log_path = log.name
        log.close()
        self.processes.append(process)
        self.note("case", f"started {name} (pid {process.pid})")
        return process

    def kill(self, process, sig=signal.SIGKILL):
        if process.poll() is None:
            process.send_signal(sig)
            if sig == signal.SIGKILL:
                process.wait()
        self.note("case", f"sent {signal.Signals(sig).name} to pid {process.pid}")

    async def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        self.record_file.flush()
        self.record_file.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def run(folder, main, limit=110):
    """Runs the coroutine `main(case)`, which returns HELD or BROKEN, and ends with its exit code."""
    async def guarded():
        case = Case(folder)
        task = asyncio.ensure_future(asyncio.wait_for(main(case), limit))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            code = await task
        except asyncio.CancelledError:
            case.note("case", "ended by a signal")
            code = COULD_NOT_RUN
        except CouldNotRun as error:
            case.note("case", f"could not run: {error}")
            print(f"could not run: {error}")
            code = COULD_NOT_RUN
        except Exception as error:
            import traceback
            case.note("case", "could not run: " + traceback.format_exc())
            print(f"could not run: {error!r}")
            code = COULD_NOT_RUN
        case.note("case", f"exit code {code}")
        await case.close()
        return code
    code = asyncio.run(guarded())
    sys.stdout.flush()
    os._exit(code)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def head_fields(lines):
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return fields


async def read_message(reader):
    """Reads a message with a length (or none): (start line, fields, body); `None` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    fields = head_fields(line for line in lines if line)
    length = int(fields.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return start, fields, body


class AppServer:
    """An app server: answers each request after `work` seconds with `answer(request)`."""

    def __init__(self, case, name, work=0.02):
        self.case, self.name, self.work = case, name, work
        self.requests = []  # (time, X-Txn, X-Remaining-Ms)
        self.connections = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                start, fields, _ = request
                if "/-/healthy" in start or "/-/load" in start:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                txn = fields.get("x-txn", "")
                at = self.case.now()
                self.requests.append((at, txn, int(fields.get("x-remaining-ms", "-1"))))
                self.case.note(self.name, f"got {txn}, told {fields.get('x-remaining-ms')} ms")
                await self.handle(reader, writer, start, fields, txn)
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, reader, writer, start, fields, txn):
        await asyncio.sleep(self.work)
        writer.write(self.ok(txn))
        await writer.drain()
        self.case.note(self.name, f"answered {txn}")

    def ok(self, txn):
        body = f"{self.name} ran {txn}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def member(self, port=None, **more):
        entry = {"id": self.name, "host_port": f"127.0.0.1:{port or self.port}", "locality": "thu-duc",
                 "flavor": "medium", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
        entry.update(more)
        return entry


class Discovery:
    """Discovery as the protocol page has it: the whole list, and watches with a line of changes each and an empty
    line every two seconds."""

    def __init__(self, case, members, revision=41, name="discovery"):
        self.case, self.name, self.revision = case, name, revision
        self.members = {member["id"]: member for member in members}
        self.changes = []  # (revision, entry)
        self.watches = []
        self.opened = 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def since(self, index):
        latest = {entry["id"]: entry for revision, entry in self.changes if revision > index}
        return {"revision": self.revision, "complete": False, "members": list(latest.values())}

    def change(self, entry):
        """Records a change and returns its line."""
        self.revision += 1
        self.changes.append((self.revision, entry))
        if entry["phase"] == "terminated":
            self.members.pop(entry["id"], None)
        else:
            self.members[entry["id"]] = entry
        return json.dumps({"revision": self.revision, "complete": False, "members": [entry]}) + "\n"

    def write(self, watch, text):
        try:
            watch.write(b"%x\r\n%s\r\n" % (len(text.encode()), text.encode()))
            self.case.note(self.name, "wrote " + text.replace("\n", "\\n")[:400])
        except ConnectionError:
            pass

    def tell(self, entry):
        line = self.change(entry)
        for watch in self.watches:
            self.write(watch, line)

    async def before_answer(self, index):
        pass

    def keeps_alive(self, watch):
        return True

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                path = request[0].split(" ")[1]
                if "stream=1" not in path:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    continue
                index = int(path.split("index=")[1].split("&")[0])
                self.case.note(self.name, f"a watch from {index}")
                await self.before_answer(index)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.write(writer, json.dumps(self.whole() if index < 41 else self.since(index)) + "\n")
                self.watches.append(writer)
                self.opened += 1
                asyncio.ensure_future(self.beat(writer))
                await reader.read()
                return
        except ConnectionError:
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()

    async def beat(self, writer):
        while writer in self.watches:
            await asyncio.sleep(2)
            if writer in self.watches and self.keeps_alive(writer):
                self.write(writer, "\n")


def settings(classes=None, **bounds):
    """Settings of a small deployment, with the figures of the protocol page's example."""
    def one(name, aim, deadline, points, semantics):
        return {"name": name, "aim": aim, "deadline": deadline, "points": points, "semantics": semantics,
                "late-share": 0.0, "key-scope": "all", "key-ttl": 5000000, "stream": False}
    base = {
        "classes": classes or [one("job-sheet", 1500000, 6000000, 5.0, "safe"),
                               one("slot-check", 300000, 1200000, 1.0, "safe"),
                               one("stock-view", 750000, 1500000, 2.0, "safe"),
                               one("job-close", 1000000, 5000000, 2.0, "unsafe")],
        "tenants": [{"name": "south-branches", "quota-per-s": 130.0, "share": 0.62},
                    {"name": "north-branches", "quota-per-s": 80.0, "share": 0.38}],
        "bounds": {"cancelling": True, "dial-timeout": 150000, "keepalive": 10000000, "max-attempts": 4,
                   "max-retry-after": 2500000, "max-streams": 1, "may-probe": True, "open-cap": 20000,
                   "peer-messages": False, "retry-after": True, "second-copies": False},
        "clients": {"marks-retry": True}, "domain": {"warm-keys": True}, "group-size": 2, "me": 1,
        "kinds": ["large", "medium", "small"], "locality": "thu-duc", "zones": ["thu-duc", "binh-duong"],
        "over-share-worth": 0.1, "registry-mode": "push", "weight-source": "nominal", "worth-by": "work",
        "rules": {"answer-slack": 20000, "ask-within": 10000000, "fall-multiple": 3.0, "overload-for": 2000000,
                  "ramp-time": 9000000, "start-capacity": 0.3, "stop-sending-within": 1500000},
        "deductions": {"connection": 0.0, "cross-zone": 0.012, "handshake": 0.0, "late-fail": 0.037,
                       "probe": 0.01, "waste": 0.02},
    }
    base["bounds"].update(bounds)
    return base


class Node:
    """The node, started with `run` of the deploy file."""

    def __init__(self, case, members, discovery_port, name="n1", the_settings=None):
        self.case, self.name = case, name
        self.port = free_port()
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {"revision": 41, "complete": True, "members": members},
            "settings": the_settings or settings(),
        }

    async def start(self):
        path = os.path.join(self.case.temp, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.config, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        env = {"BALANCER_NAME": self.name, "BALANCER_LISTEN": self.config["listen"],
               "BALANCER_DISCOVERY": self.config["discovery"], "BALANCER_CONFIG": path}
        self.process = self.case.spawn(self.name, command, env, shell=True)
        for _ in range(200):
            try:
                connection = await Client(self.case, self.port).connect()
                status = await connection.ready()
                connection.close()
                if status == 200:
                    return self
            except (ConnectionError, OSError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("the node does not become ready")


class Client:
    """A connection of a client."""

    def __init__(self, case, port):
        self.case, self.port = case, port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def close(self):
        self.writer.close()

    async def ready(self):
        self.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
        answer = await read_message(self.reader)
        return int(answer[0].split(" ")[1]) if answer else 0

    @staticmethod
    def head(txn, lane="slot-check", ms=1200, key=None, method="GET", org="south-branches", more=""):
        target = "/api" + (f"?key={key}" if key else "")
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        return (f"{method} {target} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n"
                f"X-Org: {org}\r\nX-Remaining-Ms: {ms}\r\n{length}{more}\r\n").encode()

    async def ask(self, txn, patience=None, **request):
        """Sends a request and returns (status, body), (0, b"") if the connection ends first."""
        self.case.note("client", f"sent {txn} {request}")
        self.writer.write(self.head(txn, **request))
        answer = await read_message(self.reader)
        status, body = (int(answer[0].split(" ")[1]), answer[2]) if answer else (0, b"")
        self.ends = answer is None or answer[1].get("connection", "").lower() == "close"
        self.case.note("client", f"{txn} ended with {status} {body[:80]!r}")
        return status, body


async def ask_once(case, port, txn, **request):
    """Sends one request on a connection of its own."""
    try:
        client = await Client(case, port).connect()
    except OSError as error:
        case.note("client", f"{txn}: {error}")
        return 0, b""
    try:
        return await client.ask(txn, **request)
    except OSError as error:
        case.note("client", f"{txn}: {error}")
        return 0, b""
    finally:
        client.close()


async def http(case, port, method, path, body=None, timeout=6.0):
    """A request to the registry or to an agent: (status, JSON)."""
    async def call():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        data = json.dumps(body).encode() if body is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        answer = await read_message(reader)
        writer.close()
        if answer is None:
            raise ConnectionError("no answer")
        return int(answer[0].split(" ")[1]), json.loads(answer[2] or b"null")
    try:
        status, value = await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError) as error:
        status, value = 0, repr(error)
    if method != "GET":
        case.note("operator", f"{method} {path} {json.dumps(body)} -> {status} {json.dumps(value)}")
    return status, value


FIRCROFT = os.path.join(ROOT, "target", "release", "fircroft")


class Registry:
    """A registry of one replica, as `deploy/registry.toml` has it, on free ports."""

    def __init__(self, case, extra=""):
        self.case, self.port, self.raft_port, self.extra = case, free_port(), free_port(), extra

    async def start(self):
        path = os.path.join(self.case.temp, "registry.toml")
        with open(path, "w") as file:
            file.write(f'[registry]\ncluster = 1\nid = 1\nlisten = "127.0.0.1:{self.port}"\n'
                       f'raft_listen = "127.0.0.1:{self.raft_port}"\ndata = "{self.case.temp}/registry-1"\n'
                       f'[registry.state]\ntargets = "app"\n{self.extra}')
        self.process = self.case.spawn("registry", [FIRCROFT, "registry", "--config", path])
        for _ in range(200):
            status, value = await http(self.case, self.port, "GET", "/v1/status")
            if status == 200 and value["leads"]:
                return self
            await asyncio.sleep(0.05)
        raise CouldNotRun("the registry does not lead")

    async def command(self, request, command):
        return await http(self.case, self.port, "POST", "/v1/commands", {"request": request, "command": command})

    async def targets(self):
        _, value = await http(self.case, self.port, "GET", "/api/targets")
        return value


class Agent:
    """The agent of a machine, as `deploy/agent.toml` has it, on free ports."""

    def __init__(self, case, registry_port, name="agent", members=(), extra=""):
        self.case, self.name, self.port = case, name, free_port()
        lines = [f'[agent]\nlisten = "127.0.0.1:{self.port}"\nregistry = ["127.0.0.1:{registry_port}"]\n'
                 f'cache = "{case.temp}/{name}/list"\n{extra}']
        for member in members:
            lines.append("[[agent.members]]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in member.items()))
        self.path = os.path.join(case.temp, f"{name}.toml")
        with open(self.path, "w") as file:
            file.write("\n".join(lines))

    async def start(self):
        self.process = self.case.spawn(self.name, [FIRCROFT, "agent", "--config", self.path])
        for _ in range(200):
            status, _ = await http(self.case, self.port, "GET", "/v1/directives")
            if status == 200:
                return self
            await asyncio.sleep(0.05)
        raise CouldNotRun("the agent does not listen")

    async def targets(self):
        _, value = await http(self.case, self.port, "GET", "/api/targets")
        return value


async def until(condition, seconds, what):
    """Waits until the condition holds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.05)
    raise CouldNotRun(f"not within {seconds} s: {what}")
