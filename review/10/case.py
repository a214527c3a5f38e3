"""A watch falls silent in the middle of a line, right after a whole line that says that a server drains."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from kit import BROKEN, HELD, TROUBLE, AppServer, CouldNotRun, Discovery, Node, ask_once, run

GRACE = 1.5 + 0.05  # rules.stop-sending-within, and 50 ms on sockets


async def main(case):
    servers = [await AppServer(case, f"s-{n}").listen() for n in range(4)]
    listed = [server.member() for server in servers[:3]]
    discovery = await Discovery(case, listed).listen()
    node = await Node(case, listed, discovery.port).start()
    tasks = []

    async def load():
        for n in range(350):  # 50 a second for 7 s
            tasks.append(asyncio.ensure_future(ask_once(case, node.port, f"r-{n:04d}", key=f"plate{n % 60}")))
            await asyncio.sleep(0.02)

    loading = asyncio.ensure_future(load())
    await asyncio.sleep(1.5)
    if len(discovery.watches) != 1:
        raise CouldNotRun("the node has no watch")
    watch = discovery.watches[0]
    discovery.keeps_alive = lambda other: other is not watch or not TROUBLE
    discovery.write(watch, "\n")
    await asyncio.sleep(0.1)
    drains = discovery.change(servers[0].member(phase="terminating"))
    joins = discovery.change(servers[3].member())
    # Both lines are in one chunk; with the trouble the second one is cut off, and nothing follows it.
    discovery.write(watch, drains + (joins[:len(joins) // 2] if TROUBLE else joins))
    told = case.now()
    await loading
    await asyncio.gather(*tasks)
    after = [(at - told, txn) for at, txn, _ in servers[0].requests if at > told]
    late = [f"{txn} after {since:.2f} s" for since, txn in after if since > GRACE]
    before = [txn for at, txn, _ in servers[0].requests if at <= told]
    case.note("check", f"s-0 got {len(before)} requests before it was told to drain, {len(after)} after, "
                       f"{len(late)} later than {GRACE} s: {late}")
    print(f"s-0 got {len(late)} requests later than {GRACE} s after the node was told that it drains"
          + (f", the last one {max(since for since, _ in after):.2f} s after" if after else ""))
    if not before:
        raise CouldNotRun("s-0 got nothing before either")
    return BROKEN if late else HELD


run(HERE, main)
