"""Stand-in of one worker: runs tasks under leases and reports on them.

Usage: worker.py ID ADDRESS STORE SERVICE LABELS CPU MEM_MB STOP_MS HOLD_MAX_MS

A task takes as long as its spec says (a JSON object with `ms`; a task that
lasts has none), and saves `saved_chars` characters after each second of work.
A spec with `ticket` is that of a job whose queue has an advice policy.
What happens is written to standard output as JSON lines.
"""

import asyncio
import json
import sys
import time
import typing

import httpserver

HEARTBEAT_S = 1.1
CHECKPOINT_INTERVAL_S = 1.0
MAX_ENDS = 500
Answer = tuple[int, httpserver.Body] | None


def log(what: str, **fields: typing.Any) -> None:
    """Write a line of the record."""
    print(json.dumps({"t": round(time.time(), 3), "what": what, **fields}),
          flush=True)


class Run:
    """A run that has begun."""

    def __init__(self, task: str, run: int, spec: str, saved: str) -> None:
        self.task, self.run, self.saved = task, run, saved
        try:
            fields = dict(json.loads(spec))
        except (TypeError, ValueError):
            fields = {}
        self.ms = float(fields.get("ms", 0))
        # Tasks of a step may take unevenly long, by their number.
        self.ms += float(fields.get("ms_more", 0)) * int(
            task.rsplit(".", 1)[1])
        self.saved_chars = int(fields.get("saved_chars", 0))
        self.saves = 0
        self.began_at = time.monotonic()
        self.stops_at = 0.0

    def percent(self, now: float) -> int:
        if not self.ms:
            return 100
        return min(99, int((now - self.began_at) * 100_000.0 / self.ms))

    def save(self, now: float) -> None:
        """Produce a new value for each second of work."""
        saves = int((now - self.began_at) / CHECKPOINT_INTERVAL_S)
        if self.saved_chars and saves > self.saves:
            self.saves = saves
            self.saved = f"{self.task}/{self.run}/{saves}/".ljust(
                self.saved_chars, "0")

    def is_done(self, now: float) -> bool:
        return bool(self.ms) and (now - self.began_at) * 1000.0 >= self.ms


class Worker:
    """The worker's runs, ends, fence and lease."""

    def __init__(self, argv: typing.Sequence[str]) -> None:
        (self.id, self.address, self.store, self.service, labels, cpu, mem_mb,
         stop_ms, hold_max_ms) = argv
        self.labels = labels.split(",")
        self.capacity = {"cpu": int(cpu), "mem_mb": int(mem_mb), "gpu": 0}
        self.stop_s = int(stop_ms) / 1000.0
        self.hold_max_ms = int(hold_max_ms)
        self.began_at = time.monotonic()
        self.fence = 0
        self.until_ms = 0.0
        self.runs: dict[str, Run] = {}
        # The highest run of each task that was stopped or has ended.
        self.over: dict[str, int] = {}
        self.ends: list[list[typing.Any]] = []
        self.ended_total = 0
        self.ended = asyncio.Event()

    def clock_ms(self) -> float:
        return round((time.monotonic() - self.began_at) * 1000.0, 1) + 5000.0

    def end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.run)
        self.ended_total += 1
        self.ends.append(
            [self.ended_total, run.task, run.run, how, run.saved])
        log("ended", worker=self.id, task=run.task, run=run.run, how=how,
            number=self.ended_total)
        self.ended.set()
        self.ended = asyncio.Event()

    async def work(self) -> None:
        while True:
            now = time.monotonic()
            for run in list(self.runs.values()):
                run.save(now)
                if self.clock_ms() > self.until_ms:
                    self.end(run, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self.end(run, "stopped")
                elif run.is_done(now):
                    self.end(run, "done")
            await asyncio.sleep(0.005)

    def extend(self, body: httpserver.Body) -> None:
        if "until_ms" in body:
            self.until_ms = max(self.until_ms, min(
                body["until_ms"], self.clock_ms() + self.hold_max_ms))

    def start(self, body: httpserver.Body) -> tuple[int, httpserver.Body]:
        task, number = body["task"], body["run"]
        if body["until_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body)
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, {}
        if '"ticket"' in body["spec"] and body.get("ticket") != (
                httpserver.ticket(task.rsplit(".", 1)[0], self.id)):
            log("rejected", worker=self.id, task=task, run=number,
                reason="ticket", ticket=body.get("ticket"))
            return 409, {"reason": "ticket"}
        if number <= self.over.get(task, 0) or present is not None:
            return 409, {"reason": "old"}
        self.runs[task] = Run(task, number, body["spec"],
                              body.get("saved", ""))
        log("started", worker=self.id, task=task, run=number,
            fence=body["fence"])
        return 200, {}

    def stop(self, body: httpserver.Body) -> tuple[int, httpserver.Body]:
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.run <= number:
            if not run.stops_at:
                log("told to stop", worker=self.id, task=task, run=number)
                run.stops_at = time.monotonic() + self.stop_s / 2
        elif run is None:
            self.over[task] = max(self.over.get(task, 0), number)
        return 200, {}

    async def hold(self, body: httpserver.Body
                   ) -> tuple[int, httpserver.Body]:
        seen_upto = body.get("seen_upto", 0)
        if self.ends and self.ends[0][0] <= seen_upto:
            log("ends taken note of", worker=self.id, upto=seen_upto)
        self.ends = [end for end in self.ends if end[0] > seen_upto]
        self.extend(body)
        wait_s = min(2000, body.get("wait_ms", 0)) / 1000.0
        if not self.ends and wait_s:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        return 200, {
            "running": [[run.task, run.run, run.saved, run.percent(now), 1]
                        for run in self.runs.values()],
            "ended": self.ends[:MAX_ENDS]}

    async def serve(self, request: httpserver.Request) -> Answer:
        if request.method == "GET":
            return 200, {}
        body = request.body
        intended = request.headers.get("sycamorefield-expect-instance")
        if intended not in (None, "", self.id):
            return 421, {}
        if body.get("fence", 0) < self.fence:
            return 409, {"reason": "fence", "clock_ms": self.clock_ms()}
        self.fence = body.get("fence", 0)
        if request.path == "/-/run-start":
            status, answer = self.start(body)
        elif request.path == "/-/run-stop":
            status, answer = self.stop(body)
        elif request.path == "/-/hold":
            status, answer = await self.hold(body)
        elif request.path == "/-/pace":
            status, answer = 200, {}
        else:
            status, answer = 400, {}
        return status, {"clock_ms": self.clock_ms(), **answer}

    async def heartbeat(self) -> None:
        """Write the worker's entry, over a connection of its own each."""
        sequence = 0
        while True:
            sequence += 1
            value = json.dumps({
                "service": self.service, "addr": self.address, "zone": "z1",
                "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0, "capacity": self.capacity,
                "labels": self.labels, "clock_ms": int(self.clock_ms()),
                "seq": sequence})
            body = json.dumps({"put": {
                "key": f"servers/{self.id}", "value": value,
                "ttl_ms": int(3000 * HEARTBEAT_S)}}).encode()
            host, _, port = self.store.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(
                    host, int(port))
                writer.write((f"POST /-/standin HTTP/1.1\r\nHost: {host}\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n"
                              ).encode() + body)
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_S)


async def _main() -> None:
    worker = Worker(sys.argv[1:])
    host, _, port = worker.address.rpartition(":")
    await httpserver.listen(host, int(port), worker.serve)
    log("worker up", worker=worker.id)
    await asyncio.gather(worker.work(), worker.heartbeat())


if __name__ == "__main__":
    asyncio.run(_main())
