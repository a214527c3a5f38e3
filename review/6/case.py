"""One answer in twenty of the app servers arrives spoilt: its length is smaller than its body."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from kit import BROKEN, HELD, TROUBLE, AppServer, CouldNotRun, Discovery, Node, ask_once, run

SPOILT_SHARE = 0.05


class SpoiltServer(AppServer):
    """Keeps the body that it made for each request, and writes a smaller length than that before some of them."""

    made = {}
    spoilt = set()
    draw = random.Random(43)

    async def handle(self, reader, writer, start, fields, txn):
        await asyncio.sleep(self.work)
        body = f"{txn}: bay 4 at 14:30; paid 1,250,000 dong, receipt {self.draw.randrange(10**8):08d}".encode()
        self.made.setdefault(txn, []).append(body)
        length = len(body)
        if TROUBLE and self.draw.random() < SPOILT_SHARE:
            length -= 20
            self.spoilt.add(txn)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, body))
        self.case.note(self.name, f"answered {txn} with a length of {length} and a body of {len(body)}")
        if length < len(body):
            # "The connection stays open and is of no further use": what comes on it is neither run nor answered.
            await reader.read()


async def main(case):
    servers = [await SpoiltServer(case, f"s-{n}").listen() for n in range(4)]
    members = [server.member() for server in servers]
    discovery = await Discovery(case, members).listen()
    node = await Node(case, members, discovery.port).start()
    answers = {}

    async def ask(n):
        # Every fifth request is of the class that must never run twice.
        more = {"lane": "job-close", "method": "POST", "ms": 5000} if n % 5 == 0 else {"lane": "slot-check", "ms": 1200}
        answers[f"r-{n:04d}"] = await ask_once(case, node.port, f"r-{n:04d}", key=f"plate{n % 97}", **more)

    tasks = []
    for n in range(1500):  # 100 a second for 15 s
        tasks.append(asyncio.ensure_future(ask(n)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    served = {txn: body for txn, (status, body) in answers.items() if status == 200}
    wrong = {txn: body for txn, body in served.items() if body not in SpoiltServer.made.get(txn, [])}
    for txn, body in wrong.items():
        case.note("check", f"{txn} was served with {body!r}; made for it: {SpoiltServer.made.get(txn)}")
    case.note("check", f"{len(answers)} requests, {len(served)} served, {len(SpoiltServer.spoilt)} had a spoilt answer, "
                       f"{len(wrong)} served with what no server made")
    print(f"{len(wrong)} of {len(served)} served requests got a body that no server made for them "
          f"({len(SpoiltServer.spoilt)} spoilt answers)")
    if len(served) < len(answers) / 2:
        raise CouldNotRun("hardly anything is served")
    return BROKEN if wrong else HELD


run(HERE, main)
