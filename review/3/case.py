"""Two hundred clients stop in the middle of a request and stay, at each of two nodes: 130 in the body, then 70 in the
head. Every 0.15 s a usual client sends a request on a new connection."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import *  # noqa: E402, F403

SOCKETS = 256
IN_BODY, IN_HEAD = 130, 70   # at each node
TIME_S = 0.6                 # X-Remaining-Ms of a request: half of the class's 1.2 s
LATE_S, SLACK_S = 0.5, 0.05  # an answer may come this much after the time


async def usual_client(record, node, name, results):
    """Sends a request on a new connection and waits for its time and what the rule allows after it."""
    try:
        connection = await asyncio.wait_for(Connection().open(node.port), TIME_S)
    except (OSError, asyncio.TimeoutError):
        return record.line(f"client {name}: no connection, so the node has not taken the request")
    record.line(f"client {name}: connected to {node.name}")
    try:
        await connection.send(request(name, "slot-check", int(TIME_S * 1000), key=f"k{name}"))
    except ConnectionError:
        return record.line(f"client {name}: shut before it was sent")
    sent = record.now()
    record.line(f"client {name}: sent")
    try:
        answer = await asyncio.wait_for(connection.answer(), TIME_S + LATE_S + 2 * SLACK_S)
        took = record.now() - sent
        if answer is None:
            # "New connections may be shut unread then": not counted.
            record.line(f"client {name}: shut after {took:.3f} s")
            return
        record.line(f"client {name}: {answer[0]} after {took:.3f} s")
        if took > TIME_S + LATE_S + SLACK_S:
            results.append(f"lost: {name} at {node.name} had {TIME_S} s and was answered after {took:.3f} s")
    except asyncio.TimeoutError:
        results.append(f"lost: {name} at {node.name} had {TIME_S} s and had no answer"
                       f" {record.now() - sent:.3f} s after its last byte was sent")
        record.line(f"client {name}: gives up without an answer")
    finally:
        connection.close()


async def bad_client(record, node, number, in_body):
    """Sends a part of a request, stops, stays, and reads what comes."""
    try:
        connection = await Connection().open(node.port)
        start = record.now()
        data = (b"POST /api?key=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: bad-%d\r\n"
                b"X-Lane: job-close\r\nX-Remaining-Ms: 3000\r\n" % number)
        if in_body:
            data += b"Content-Length: 100\r\n\r\nthe first half"
        await connection.send(data)
        answer = await connection.answer()
        record.line(f"bad client {number} at {node.name}: {answer[0] if answer else 'closed'}"
                    f" after {record.now() - start:.3f} s")
        connection.close()
    except OSError as error:
        record.line(f"bad client {number} at {node.name}: {error}")


async def play(record, trouble, nodes):
    agents = [await Agent(record).start() for _ in range(2)]
    servers = [await AppServer(record, f"s-{n}", work=0.05).start() for n in range(10)]
    for agent in agents:
        for server in servers:
            agent.put(server)
    for n, agent in enumerate(agents):
        node = Node(record, agent, settings(HCM_CLASSES), sockets=SOCKETS, name=f"n{n}")
        nodes.append(node)
        await node.start()
    results, clients, bad = [], [], []
    for n in range(40):
        if n == 10 and trouble:
            record.say(f"{IN_BODY} clients stop in a request's body and {IN_HEAD} in its head, at each node")
            for in_body, count in ((True, IN_BODY), (False, IN_HEAD)):
                for node in nodes:
                    bad += [asyncio.create_task(bad_client(record, node, len(bad) + i, in_body))
                            for i in range(count)]
                await asyncio.sleep(0.05)
        clients.append(asyncio.create_task(usual_client(record, nodes[n % 2], f"c{n}", results)))
        await asyncio.sleep(0.15)
    await asyncio.gather(*clients)
    for task in bad:
        task.cancel()
    record.say(f"{len(clients)} requests of usual clients")
    return results


run_case(FOLDER, play)
