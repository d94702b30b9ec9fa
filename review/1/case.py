"""Two new configurations in quick succession while discovery is slow and, at the newest address, down for a moment."""

import asyncio
import random

from standins import *

SERVERS = 9
ZONES = ["manila", "cebu", "davao"]
CONNECTIONS_PER_S = 8.0     # over all balancers; the site carries 3.8 on a usual day, more after a storm
LIFE_S = (3.0, 8.0)
SECOND_SIGHUP_S = 0.5       # after the first one
SLOW_CALL_S = 0.9           # the site's discovery lets a call wait up to 1 s
DOWN_S = 1.5                # so long the newest address answers 503
DRAIN_AT_S = 16.0           # a session server begins to drain, in seconds since the clients came
END_AT_S = 70.0
# What the pages set: told 6 s after discovery had it and could be reached; grace of 500 ms; 50 ms more on sockets.
TOLD_S, GRACE_S, SOCKET_S = 6.0, 0.5, 0.05


async def client(record, balancer, n, counts, rng):
    """A usual client: OPEN, then a line every 2 s until its life is over. Comes again twice when it is refused."""
    key, group = f"{rng.getrandbits(64):016x}", f"{rng.getrandbits(64):016x}"
    life, wait = rng.uniform(*LIFE_S), 0.1
    c, d = ("payout-watch", 2000) if rng.random() < 0.24 else ("claim-watch", 4800)
    for attempt in range(3):
        fields = f"c={c},d={d},g={group}" + (",r=1" if attempt else "")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", balancer.port)
        except OSError:
            counts["refused connection"] += 1
            return
        try:
            writer.write(f"OPEN {n:08x}{rng.getrandbits(32):08x} {key} {fields}\r\n".encode())
            answer = (await asyncio.wait_for(reader.readline(), d / 1000 + 1)).decode().strip()
            counts[answer.split(" ")[0] or "closed"] += 1
            record.note(f"client {n} at {balancer.name}: {answer or 'closed without an answer'!r}")
            if answer.startswith("UP "):
                end = time.monotonic() + life
                while time.monotonic() < end:
                    writer.write(b"status?\r\n")
                    await asyncio.sleep(min(2.0, max(0.0, end - time.monotonic())))
                return
        except (OSError, asyncio.TimeoutError):
            counts["no answer"] += 1
        finally:
            writer.close()
        await asyncio.sleep(wait)
        wait *= 2


async def main(record, folder, balancers):
    rng = random.Random(47)
    roster = Roster()
    servers = [SessionServer(record, f"s-{rng.getrandbits(32):08x}") for _ in range(SERVERS)]
    for i, server in enumerate(servers):
        await server.start()
        roster.add(server.name, server.address, ZONES[i % 3])
    a, b, c = (Discovery(record, roster, name) for name in "ABC")
    for address in (a, b, c):
        await address.start()

    for number in range(3):
        balancers.append(Balancer(record, f"n{number}", folder, {
            "name": f"n{number}", "listen": f"127.0.0.1:{free_port()}", "discovery": a.address,
            "seed": f"{rng.getrandbits(64):016x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": roster.listing(), "settings": claims_settings(number, ZONES[number])}))
        balancers[-1].start()
    for balancer in balancers:
        await balancer.ready()

    counts = collections.Counter()
    begin = record.now()
    tasks = set()

    async def traffic():
        n = 0
        while record.now() < begin + END_AT_S:
            n += 1
            tasks.add(asyncio.create_task(client(record, balancers[n % 3], n, counts, rng)))
            await asyncio.sleep(rng.expovariate(CONNECTIONS_PER_S))

    traffic = asyncio.create_task(traffic())

    async def until(seconds):
        await asyncio.sleep(max(0.0, begin + seconds - record.now()))

    def configure(address):
        for balancer in balancers:
            balancer.configuration["discovery"] = address.address
            balancer.write()
            balancer.signal(signal.SIGHUP)

    # Both runs: two new configurations in a row. Only with the disruption are calls slow and, for a moment, refused.
    await until(6.0)
    if TROUBLE:
        b.delay, c.down = SLOW_CALL_S, True
    configure(b)
    retired = [asyncio.create_task(a.retire())]
    await until(6.0 + SECOND_SIGHUP_S)
    configure(c)
    retired.append(asyncio.create_task(b.retire()))
    await until(6.0 + SECOND_SIGHUP_S + DOWN_S)
    c.down = False
    record.note("discovery C: answers every call at once from here on")

    await until(DRAIN_AT_S)
    drained = servers[0]
    for server in servers:  # one that has a share of the traffic
        if len(server.opens) > len(drained.opens):
            drained = server
    drained.drain()
    await roster.set_status(drained.name, "draining")
    drain_at = record.now()
    record.note(f"server {drained.name} drains from here on; version {roster.index} of the list says so")

    await until(END_AT_S)
    await traffic
    record.note(f"calls open at discovery C at the end, of 3 balancers: {len(c.open)}")
    record.note(f"answers to clients: {dict(counts)}")
    allowed = drain_at + TOLD_S + GRACE_S + SOCKET_S
    late = [at for at in drained.opens if at > allowed]
    for name, span in (("6 s (told at the latest)", TOLD_S), ("10 s (MustAskInMs)", 10.0), ("40 s (four times that)", 40.0)):
        n = sum(at > drain_at + span + GRACE_S + SOCKET_S for at in drained.opens)
        record.note(f"new connections sent to {drained.name} later than {name} and 0.55 s after it began to drain: {n}")
    for balancer in balancers:
        if balancer.process.poll() is not None:
            raise CannotRun(f"balancer {balancer.name} ended")
    if not sum(counts.values()) or counts["UP"] < 100:
        raise CannotRun("too few clients were served to judge")
    record.note("rule drain BROKEN" if late else "rule drain held")
    return 1 if late else 0


run_case(main)
