"""Lists are asked for, and discovery takes three seconds for each call: the node gives up every call before its answer."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from kit import BROKEN, HELD, TROUBLE, AppServer, CouldNotRun, Discovery, Node, ask_once, run, settings

SLOW = 3.0  # seconds for a call, half of the 6 s after which a change counts as told
GRACE = 2.0  # rules.stop-sending-within of the site
LIMIT = 6.0 + GRACE + 0.1  # 50 ms for each limit on sockets


async def main(case):
    servers = [await AppServer(case, f"s-{n}").listen() for n in range(3)]
    members = [server.member() for server in servers]
    discovery = await Discovery(case, members).listen()

    async def wait_in_turn(index):
        if TROUBLE:
            await asyncio.sleep(SLOW)

    discovery.before_answer = wait_in_turn
    the_settings = settings()
    the_settings["registry-mode"] = "ask"
    the_settings["rules"]["stop-sending-within"] = int(GRACE * 1e6)
    node = await Node(case, members, discovery.port, the_settings=the_settings).start()
    tasks = []

    async def load():
        for n in range(1000):  # 50 a second for 20 s
            tasks.append(asyncio.ensure_future(ask_once(case, node.port, f"r-{n:04d}", key=f"plate{n % 60}")))
            await asyncio.sleep(0.02)

    loading = asyncio.ensure_future(load())
    await asyncio.sleep(2)
    # Discovery has the change and answers every call, each with all that it has at the time of the answer.
    discovery.tell(servers[0].member(phase="terminating"))
    known = case.now()
    await loading
    await asyncio.gather(*tasks)
    before = [txn for at, txn, _ in servers[0].requests if at <= known]
    late = [(round(at - known, 2), txn) for at, txn, _ in servers[0].requests if at - known > LIMIT]
    case.note("check", f"s-0 got {len(before)} requests before it drained, and later than {LIMIT} s after discovery "
                       f"knew of it {len(late)}: {late}")
    print(f"s-0 got {len(late)} requests later than {LIMIT} s after discovery knew that it drains")
    if not before:
        raise CouldNotRun("s-0 got nothing before either")
    return BROKEN if late else HELD


run(HERE, main)
