"""Session servers begin to drain, one after another, while XMPP log-ins of a class that must not be repeated are in work."""

import asyncio
import base64
import random

from standins import *

ZONES = ["manila", "cebu", "davao"]
SERVERS = 9
DRAINED = 4             # of 9, one every 4 s: the pages replace half of the session servers in steps
LOGINS_PER_S = 20.0
SETUP_S = (0.2, 0.5)    # what a log-in takes at its server; the class wants to be set up within 0.8 s
LIFE_S = (2.0, 5.0)
END_AT_S = 26.0
DOMAIN = "desk.example"
STREAM = "http://etherx.jabber.org/streams"
SASL = "urn:ietf:params:xml:ns:xmpp-sasl"
ERRORS = "urn:ietf:params:xml:ns:xmpp-streams"


TASKS = set()


def start(coroutine):
    """Runs a client; the event loop itself would not keep it alive."""
    TASKS.add(asyncio.create_task(coroutine))


def header(extra):
    return (f"<?xml version='1.0'?><stream:stream xmlns='jabber:client' xmlns:stream='{STREAM}' {extra} "
            f"version='1.0'>").encode()


class XmppServer:
    """An XMPP session server. A log-in whose last byte has come runs: its effect is noted at once, and the answer comes
    when the set-up is done. When it begins to drain it sends all its clients away at once, with the stream error that RFC 6120 has for it."""

    def __init__(self, record, name, effects, rng):
        self.record, self.name, self.effects, self.rng = record, name, effects, rng
        self.draining = False
        self.standing = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def send_away(self, writer):
        writer.write(f"<stream:error><system-shutdown xmlns='{ERRORS}'/></stream:error></stream:stream>".encode())
        writer.close()

    def drain(self):
        self.draining = True
        for writer, user in list(self.standing.items()):
            if user:
                self.record.note(f"server {self.name}: sends {user} away, whose log-in it has in work")
            self.send_away(writer)

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"version='1.0'>")
            writer.write(header(f"id='{self.name}' from='{DOMAIN}'"))
            if self.draining:
                return self.send_away(writer)
            self.standing[writer] = None
            writer.write(f"<stream:features><mechanisms xmlns='{SASL}'><mechanism>PLAIN</mechanism></mechanisms>"
                         "</stream:features>".encode())
            auth = (await reader.readuntil(b"</auth>")).decode()
            if self.draining:
                return
            user = base64.b64decode(re.search(r">([^<]*)</auth>", auth).group(1)).decode().split("\0")[1]
            self.record.note(f"server {self.name}: runs the log-in of {user}")
            self.effects[user].append(self.name)
            self.standing[writer] = user
            await asyncio.sleep(self.rng.uniform(*SETUP_S))
            if self.draining:
                return
            self.standing[writer] = None
            writer.write(f"<success xmlns='{SASL}'/>".encode())
            await reader.readuntil(b"version='1.0'>")
            writer.write(header(f"id='{self.name}' from='{DOMAIN}'") +
                         b"<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></stream:features>")
            await reader.readuntil(b"</stream:stream>")
            writer.write(b"</stream:stream>")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.standing.pop(writer, None)
            writer.close()


async def client(record, port, n, rng, answers):
    """Logs in once, under a name of its own, and never repeats it."""
    user, writer = f"adjuster{n}", None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(header(f"to='{DOMAIN}'"))
        await reader.readuntil(b"</stream:features>")
        login = base64.b64encode(f"\0{user}\0secret".encode()).decode()
        writer.write(f"<auth xmlns='{SASL}' mechanism='PLAIN'>{login}</auth>".encode())
        answer = (await asyncio.wait_for(reader.readuntil(b">"), 10)).decode()
        kind = re.match(r"<(\S+)", answer).group(1).rstrip(">")
        answers[kind] += 1
        record.note(f"client {user}: {kind}")
        if kind == "success":
            writer.write(header(f"to='{DOMAIN}'"))
            await reader.readuntil(b"</stream:features>")
            await asyncio.sleep(rng.uniform(*LIFE_S))
            writer.write(b"</stream:stream>")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
        answers[type(e).__name__] += 1
    finally:
        if writer:
            writer.close()


async def main(record, folder, balancers):
    rng = random.Random(47)
    roster, effects = Roster(), collections.defaultdict(list)
    servers = [XmppServer(record, f"s-{rng.getrandbits(32):08x}", effects, rng) for _ in range(SERVERS)]
    for i, server in enumerate(servers):
        await server.start()
        roster.add(server.name, server.address, ZONES[i % 3])
    discovery = Discovery(record, roster, "A")
    await discovery.start()

    doors = [free_port() for _ in range(3)]
    for number in range(3):
        instances = "\n".join(f'"{s.name}" = "{s.address}"' for s in servers)
        with open(f"{folder}/n{number}.toml", "w") as f:
            f.write(f'[xmpp]\nlisten = "127.0.0.1:{doors[number]}"\n\n[xmpp.instances]\n{instances}\n\n'
                    f'[[xmpp.service]]\ndomain = "{DOMAIN}"\nclass = "claim-watch"\ngroup = "jid"\n')
        settings = claims_settings(number, ZONES[number])
        settings["Classes"][0]["Effect"] = "single_shot"
        balancers.append(Balancer(record, f"n{number}", folder, {
            "name": f"n{number}", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address,
            "seed": f"{rng.getrandbits(64):016x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": roster.listing(), "settings": settings}, {"OAKDEAL_OPERATOR": f"{folder}/n{number}.toml"}))
        balancers[-1].start()
    for balancer in balancers:
        await balancer.ready()

    answers, begin = collections.Counter(), record.now()

    async def traffic():
        n = 0
        while record.now() < begin + END_AT_S:
            n += 1
            start(client(record, doors[n % 3], n, rng, answers))
            await asyncio.sleep(rng.expovariate(LOGINS_PER_S))

    traffic = asyncio.create_task(traffic())
    for k in range(DRAINED):
        await asyncio.sleep(max(0.0, begin + 6.0 + 4.0 * k - record.now()))
        if TROUBLE:
            # Any of them may be next; the one with the most log-ins in work, so that there is something to see.
            server = max((s for s in servers if not s.draining), key=lambda s: sum(map(bool, s.standing.values())))
            record.note(f"server {server.name} begins to drain")
            server.drain()
            await roster.set_status(server.name, "draining")
    await traffic
    await asyncio.sleep(6.0)
    twice = {user: at for user, at in effects.items() if len(at) > 1}
    for user, at in twice.items():
        record.note(f"the one log-in of {user} was run {len(at)} times: at {', '.join(at)}")
    record.note(f"answers to clients: {dict(answers)}; log-ins run: {len(effects)}, more than once: {len(twice)}")
    for balancer in balancers:
        if balancer.process.poll() is not None:
            raise CannotRun(f"balancer {balancer.name} ended")
    if answers["success"] < 100:
        raise CannotRun("too few log-ins were served to judge")
    record.note("rule duplicate BROKEN" if twice else "rule duplicate held")
    return 1 if twice else 0


run_case(main)
