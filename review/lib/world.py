"""Stand-ins of the platform: the store, the workers and the advice service.

They follow PROTOCOL.md.  All run in one asyncio loop, on loopback addresses
and the real clock.  Every start and end of a run is appended to World.events.
"""

import asyncio
import base64
import bisect
import json
import random
import socket
import struct
import time
import urllib.parse


def now() -> float:
    """Return seconds on the steady clock."""
    return time.monotonic()


class NoAnswer(Exception):
    """The call gets no answer; its connection is closed."""


class Hang(Exception):
    """The call is neither answered nor is its connection closed."""


class Server:
    """An HTTP/1.1 server of JSON calls; handle(method, path, query, headers,
    body) returns (status, body)."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=256)

    async def stop(self, reset=False):
        """Close the listener and all connections, as the end of a process."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    struct.pack("ii", 1, 0))
                writer.transport.abort()
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length") or 0)
                data = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                fields = {k: v[0] for k, v in
                          urllib.parse.parse_qs(query).items()}
                try:
                    status, body = await self.handle(
                        method, path, fields, headers,
                        json.loads(data) if data else {})
                except NoAnswer:
                    return
                except Hang:
                    await asyncio.sleep(3600)
                    return
                out = json.dumps(body).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: "
                              f"application/json\r\nContent-Length: "
                              f"{len(out)}\r\n\r\n").encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: items, leases, transactions and watches.

    fault(method, path, headers) may return a status with which a call is
    refused, "lost" (done, not answered), "silent" (neither) or ("late",
    seconds): done after that time, not answered.
    """

    PAGE = 500

    def __init__(self, host, port):
        self.items = {}
        # The keys in order.
        self.keys = []
        self.history = []
        self.rev = 1
        self.oldest = 0
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Event()
        self.fault = lambda method, path, headers: None
        self.server = Server(host, port, self.handle)

    async def start(self):
        await self.server.start()
        self.task = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, entry in list(self.leases.items()):
                if entry["until"] <= now():
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]
            self.history.append({"key": key, "rev": self.rev,
                                 "deleted": True, "at": now()})

    def _notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _row(self, item):
        row = {k: v for k, v in item.items() if k != "at"}
        return row

    def write(self, key, value, lease=0):
        """Write as the operator or as a worker."""
        self.rev += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._notify()
        return self.rev

    def delete(self, key):
        self.rev += 1
        self._remove(key)
        self._notify()

    def _put(self, key, value, lease):
        old = self.items.get(key)
        item = {"key": key, "value": value, "rev": self.rev,
                "created": old["created"] if old else self.rev,
                "lease": lease, "at": now()}
        if old is None:
            bisect.insort(self.keys, key)
        self.items[key] = item
        self.history.append(item)

    def compact(self):
        self.oldest = self.rev
        self.history.clear()
        self._notify()

    async def handle(self, method, path, query, headers, body):
        fault = self.fault(method, path, headers)
        if fault == "silent":
            raise Hang
        if isinstance(fault, int):
            return fault, {}
        if isinstance(fault, float):
            await asyncio.sleep(fault)
        if isinstance(fault, tuple):
            asyncio.create_task(self._serve_late(
                fault[1], method, path, query, body))
            raise NoAnswer
        result = await self._serve(method, path, query, body)
        if fault == "lost":
            raise NoAnswer
        return result

    async def _serve_late(self, seconds, *call):
        await asyncio.sleep(seconds)
        await self._serve(*call)

    async def _serve(self, method, path, query, body):
        await asyncio.sleep(0.002)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.rev}
            return 200, {**self._row(item), "current_rev": self.rev}
        if path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            first = (bisect.bisect_right(self.keys, after) if after
                     else bisect.bisect_left(self.keys, prefix))
            keys = [k for k in self.keys[first:first + self.PAGE + 1]
                    if k.startswith(prefix)]
            return 200, {"items": [self._row(self.items[k])
                                   for k in keys[:self.PAGE]],
                         "has_more": len(keys) > self.PAGE,
                         "current_rev": self.rev}
        if path == "/-/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]),
                                     int(query.get("wait_ms", 0)) / 1000)
        if path == "/-/kv-txn":
            return self._txn(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(1000, body["ttl_ms"])
            self.leases[self.next_lease] = {"ttl": ttl,
                                            "until": now() + ttl / 1000}
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            entry = self.leases.get(int(path.rsplit("/", 1)[1]))
            if entry is None:
                return 404, {}
            entry["until"] = now() + entry["ttl"] / 1000
            return 200, {"ttl_ms": entry["ttl"]}
        if path.startswith("/-/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    async def _watch(self, prefix, after, wait_s):
        until = now() + wait_s
        while True:
            if after < self.oldest:
                return 410, {}
            events = [self._row(e) for e in self.history
                      if e["rev"] > after and e["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        rows = body.get("precondition", [])
        if any(self.items.get(r["key"], {"rev": 0})["rev"] != r.get("rev", 0)
               for r in rows):
            return 412, {"items": [self._row(self.items[r["key"]])
                                   for r in rows if r["key"] in self.items]}
        puts = body.get("puts", [])
        if any(p.get("lease") and p["lease"] not in self.leases
               for p in puts):
            return 404, {}
        self.rev += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"rev": self.rev}


class Run:
    """A run of a task on a worker."""

    def __init__(self, task, run, worker, saved, started):
        self.task, self.run, self.worker = task, run, worker
        self.saved = saved
        self.started = started
        self.work_began = None
        self.work_s = 0.0
        self.timers = []


class Gang:
    """The members of one run of a gang that have been started."""

    def __init__(self, count):
        self.count = count
        self.members = {}
        self.together = False


class World:
    """The workers, what they run, and what has happened.

    plan(task, run) returns (seconds, how) for the work of a run: how is
    "done" or "failed", or "lasts".
    """

    def __init__(self, hold_max_ms=6000, stop_ms=200, gang_timeout_ms=3000):
        self.hold_max_ms = hold_max_ms
        self.stop_ms = stop_ms
        self.gang_timeout_ms = gang_timeout_ms
        self.jobs = {}
        self.events = []
        self.workers = {}
        self.gangs = {}
        self.started_at = now()
        self.plan = lambda task, run: (0.5, "done")

    def note(self, what, **fields):
        self.events.append({"t": round(now() - self.started_at, 4),
                            "what": what, **fields})

    def step_of(self, task):
        job_id, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job_id]["steps"][int(step)]


class Worker:
    """One life of a worker."""

    def __init__(self, world, store, host, port, service, zone, labels,
                 capacity, worker_id=None, heartbeat_s=1.1):
        self.world, self.store = world, store
        self.id = worker_id or f"i-{random.getrandbits(40):010x}"
        self.host, self.port = host, port
        self.service, self.zone = service, zone
        self.labels, self.capacity = labels, capacity
        self.heartbeat_s = heartbeat_s
        self.born = now() - random.uniform(1, 100)
        self.fence = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.lease_until = 0.0
        self.seq = 0
        self.state = "ready"
        self.alive = False
        self.news = asyncio.Event()
        # fault(path, body, headers) as of the store; "late": done later.
        self.fault = lambda path, body, headers: None
        self.server = Server(host, port, self.handle)

    def clock_ms(self):
        return int((now() - self.born) * 1000)

    async def start(self):
        self.alive = True
        await self.server.start()
        self.world.workers[self.id] = self
        self.tasks = [asyncio.create_task(self._beat()),
                      asyncio.create_task(self._watch_lease())]

    def _entry(self):
        self.seq += 1
        entry = {"service": self.service, "addr": f"{self.host}:{self.port}",
                 "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "capacity": self.capacity,
                 "labels": self.labels, "clock_ms": self.clock_ms(),
                 "seq": self.seq}
        if self.state == "draining":
            entry["remaining_ms"] = 2000
        return json.dumps(entry).encode()

    async def _beat(self):
        while self.alive:
            self.store.write(f"servers/{self.id}", self._entry())
            await asyncio.sleep(self.heartbeat_s)

    async def _watch_lease(self):
        lapsed = True
        while self.alive:
            await asyncio.sleep(0.02)
            if now() <= self.lease_until:
                lapsed = False
            elif not lapsed:
                lapsed = True
                self.world.note("lapse", worker=self.id)
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    async def crash(self, listed_s=4.1):
        """Crash: nothing listens any more, and all runs end."""
        self.alive = False
        await self.server.stop()
        for task in self.tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self._drop(run)
            self.world.note("lost", task=run.task, run=run.run,
                            worker=self.id)
            self._break_gang(run)
        self.world.workers.pop(self.id, None)
        asyncio.get_running_loop().call_later(
            listed_s, self.store.delete, f"servers/{self.id}")

    async def cut_link(self):
        """Reset the connections and refuse new ones; the worker runs on."""
        await self.server.stop(reset=True)

    async def mend_link(self):
        if self.alive:
            await self.server.start()

    # Runs

    def _drop(self, run):
        self.runs.pop((run.task, run.run), None)
        for timer in run.timers:
            timer.cancel()

    def _end(self, run, how):
        if (run.task, run.run) not in self.runs:
            return
        if how == "stopped" and self.world.step_of(
                run.task).get("checkpoint"):
            self._save(run)
        self._drop(run)
        self.ends += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ended.append([self.ends, run.task, run.run, how, run.saved])
        self.world.note("end", task=run.task, run=run.run, how=how,
                        worker=self.id)
        self.news.set()
        if how == "done":
            gang = self.world.gangs.get(self._gang_key(run))
            if gang is not None:
                for member in list(gang.members.values()):
                    member.worker._end(member, "done")
        else:
            self._break_gang(run)

    def _gang_key(self, run):
        return run.task.rsplit(".", 1)[0], run.run

    def _break_gang(self, run):
        gang = self.world.gangs.get(self._gang_key(run))
        if gang is None or gang.members.get(run.task) is not run:
            return
        del gang.members[run.task]
        if gang.together:
            for member in list(gang.members.values()):
                member.worker._end(member, "broken")

    def _later(self, run, seconds, call, *args):
        run.timers.append(asyncio.get_running_loop().call_later(
            seconds, call, *args))

    def _begin_work(self, run):
        run.work_began = now()
        seconds, how = self.world.plan(run.task, run.run)
        if self.world.step_of(run.task).get("checkpoint"):
            seconds = max(0.05, seconds - _saved_s(run.saved))
        run.work_s = seconds
        if how != "lasts":
            self._later(run, seconds, self._end, run, how)

    def _save(self, run):
        if run.work_began is not None:
            done = _saved_s(run.saved) + now() - run.work_began
            run.saved = f"{done:09.3f}.{run.task}.{run.run}"

    def percent(self, run):
        if run.work_began is None:
            return 0
        if self.world.step_of(run.task).get("perpetual"):
            return 100 if now() - run.work_began > 0.3 else 0
        return int(min(99, 100 * (now() - run.work_began) / run.work_s))

    def _lease(self, body):
        if "until_ms" in body:
            end = min(self.born + body["until_ms"] / 1000.0,
                      now() + self.world.hold_max_ms / 1000.0)
            self.lease_until = max(self.lease_until, end)

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        expected = headers.get("sycamorefield-expect-instance")
        if expected and expected != self.id:
            return 421, {}
        fault = self.fault(path, body, headers)
        if fault == "silent":
            raise Hang
        if fault == "late":
            asyncio.get_running_loop().call_later(
                random.uniform(2, 12), lambda: asyncio.ensure_future(
                    self._carry_out(path, body)))
            raise Hang
        if isinstance(fault, int):
            return fault, {}
        if isinstance(fault, float):
            await asyncio.sleep(fault)
        result = await self._carry_out(path, body)
        if fault == "lost":
            raise NoAnswer
        return result

    async def _carry_out(self, path, body):
        if not self.alive:
            raise NoAnswer
        if body.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence", 0)
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return self._stop(body)
        if path == "/-/hold":
            return await self._hold(body)
        if path == "/-/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 400, {}

    def _start(self, body):
        task, number = body["task"], body["run"]
        reply = {"clock_ms": self.clock_ms()}
        self._lease(body)
        if (task, number) in self.runs:
            return 200, reply
        if number <= self.highest.get(task, 0):
            return 409, {**reply, "reason": "old"}
        if body["until_ms"] <= self.clock_ms():
            return 409, {**reply, "reason": "late"}
        run = Run(task, number, self, body.get("saved", ""), now())
        self.runs[task, number] = run
        self.world.note("start", task=task, run=number, worker=self.id,
                        spec=body.get("spec", ""), saved=run.saved,
                        fence=body.get("fence", 0))
        step = self.world.step_of(task)
        if step.get("gang"):
            self._join_gang(run, step["count"])
        else:
            self._begin_work(run)
        return 200, reply

    def _join_gang(self, run, count):
        key = self._gang_key(run)
        gang = self.world.gangs.setdefault(key, Gang(count))
        gang.members[run.task] = run
        if len(gang.members) == count:
            gang.together = True
            for member in gang.members.values():
                member.worker._begin_work(member)
        else:
            self._later(run, self.world.gang_timeout_ms / 1000,
                        self._alone, run)

    def _alone(self, run):
        gang = self.world.gangs.get(self._gang_key(run))
        if gang is not None and not gang.together:
            self._end(run, "alone")

    def _stop(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get((task, number))
        if run is None:
            self.highest[task] = max(self.highest.get(task, 0), number)
        else:
            self._later(run, random.uniform(
                0.1, 1.0) * self.world.stop_ms / 1000, self._end, run,
                "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body):
        self._lease(body)
        seen = body.get("seen_upto", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.world.note("seen", task=end[1], run=end[2], how=end[3],
                                worker=self.id)
        self.ended = [end for end in self.ended if end[0] > seen]
        until = now() + body.get("wait_ms", 0) / 1000.0
        while not self.ended and now() < until and self.alive:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), until - now())
            except asyncio.TimeoutError:
                break
        if not self.alive:
            raise NoAnswer
        rows = []
        for run in self.runs.values():
            step = self.world.step_of(run.task)
            rows.append([run.task, run.run, run.saved, self.percent(run),
                         step.get("cpu", 0)])
        return 200, {"clock_ms": self.clock_ms(), "running": rows,
                     "ended": self.ended[:500]}


def _saved_s(saved):
    return float(saved.split(".")[0] + "." + saved.split(".")[1]) if (
        saved) else 0.0
