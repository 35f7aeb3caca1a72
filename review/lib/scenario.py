"""A small deployment under a usual load, for the scripts of the cases."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import sys

import deploy
import world as world_mod

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "0")) or random.randrange(1, 10 ** 6)
DAEMONS = 3
WORKERS = 33
FINISH_S = 14.0
MAX_ATTEMPTS = 4
SERVICE = "huvo11a"
HOST = "nony24.example"
QUEUES = {
    # name: prefix, priority, slo_ms, stretch, jobs a second, steps, tasks,
    # task seconds, cpu, mem_mb
    "r-hull": ("/lohu930/", 0, 250, 1.5, 3.24, (1, 2), 6, 0.64, 3100, 6200),
    "r-renewal": ("/pufi791/", 2, 1000, 2.0, 3.4, (2, 2), 8, 2.2, 3500,
                  6400)}
# A queue of tasks that last, for scripts that need one.
WATCH_ROUTE = {"name": "r-watch", "host": HOST, "prefix": "/pule252/",
               "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 2500,
               "priority": 0, "service": SERVICE, "max_attempts": 2,
               "stretch": 2.2}


class Scenario:
    """The deployment, its clients, and the record of what was seen."""

    traffic_s = 40.0

    def __init__(self, folder):
        self.random = random.Random(SEED)
        self.folder = folder
        self.prefix = deploy.free_subnet()
        self.world = world_mod.World()
        self.world.plan = self.plan
        self.store = world_mod.Store(f"{self.prefix}.200", 8169)
        self.workers = []
        self.daemons = []
        self.jobs = {}
        self.record = []

    def say(self, text):
        at = world_mod.now() - self.world.started_at
        self.record.append(f"{at:9.3f} {text}")

    def plan(self, task, run):
        job = self.jobs[task.split(".")[0]]
        return random.Random(f"{SEED}{task}").uniform(
            0.5, 1.5) * job["task_s"], "done"

    async def add_worker(self, index):
        worker = world_mod.Worker(
            self.world, self.store, f"{self.prefix}.{100 + index}", 8080,
            SERVICE, list(deploy.ZONES)[index % 3],
            ["a", f"r{index % 3 + 1}-1"],
            {"cpu": 32000, "mem_mb": 128000, "gpu": 0})
        await worker.start()
        return worker

    async def start(self):
        await self.store.start()
        self.store.write("op/config", json.dumps({
            "version": 7,
            "routes": [{"name": name, "host": HOST, "prefix": row[0],
                        "kind": "non_idempotent", "timeout_ms": 3000,
                        "slo_ms": row[2], "priority": row[1],
                        "service": SERVICE, "max_attempts": MAX_ATTEMPTS,
                        "stretch": row[3]} for name, row in QUEUES.items()]
            + [WATCH_ROUTE],
            "services": [{"name": SERVICE, "health_path": "/health",
                          "max_conns": 64, "protocol": "h1", "tls": False,
                          "rejects_overload": False, "spare": False}],
            "limits": {"max_body_bytes": 262144}}).encode())
        for index in range(WORKERS):
            self.workers.append(await self.add_worker(index))
        for number in range(DAEMONS):
            daemon = deploy.Daemon(
                number, f"{self.prefix}.{10 + number}",
                list(deploy.ZONES)[number % 3], f"{self.prefix}.200:8169",
                self.folder)
            daemon.start()
            self.daemons.append(daemon)
        for _ in range(150):
            await asyncio.sleep(0.1)
            answers = [await deploy.request(d.ready, "GET", "/-/ready", HOST)
                       for d in self.daemons]
            if all(status == 200 for status, _ in answers):
                return True
        return False

    async def call(self, method, path, body=None):
        daemon = self.random.choice(self.daemons)
        return await deploy.request(daemon.front, method, path, HOST, body)

    async def submit(self, queue):
        row = QUEUES[queue]
        job_id = f"{self.random.getrandbits(64):016x}"
        count = self.random.randint(*row[5])
        steps = []
        for number in range(count):
            step = {"count": max(1, int(self.random.gauss(row[6], 2))),
                    "cpu": row[8], "mem_mb": row[9],
                    "est_runtime_ms": int(row[7] * 1000)}
            if number:
                step["after"] = [number - 1]
            steps.append(step)
        job = {"spec": f"work {job_id}", "steps": steps}
        self.world.jobs[job_id] = job
        self.jobs[job_id] = {"path": row[0] + job_id, "task_s": row[7],
                             "accepted": False}
        await self.hand_in(job_id, job)

    async def hand_in(self, job_id, job):
        """Repeat a job until it is accepted, as callers do."""
        path = self.jobs[job_id]["path"]
        for _ in range(4):
            status, _ = await self.call("POST", path, job)
            self.say(f"POST {job_id} {status}")
            if status // 100 == 2:
                self.jobs[job_id]["accepted"] = True
                return
            await asyncio.sleep(0.5)

    async def traffic(self, queue):
        tasks = []
        until = world_mod.now() + self.traffic_s
        while world_mod.now() < until:
            tasks.append(asyncio.create_task(self.submit(queue)))
            await asyncio.sleep(self.random.expovariate(QUEUES[queue][4]))
        await asyncio.gather(*tasks)

    async def trouble(self):
        """Cause the disruption of the case."""

    async def judge(self):
        """Return the breaches of the rule, one line each."""
        return []

    async def run(self):
        if not await self.start():
            print("the daemons did not get ready")
            return 2
        self.say(f"seed {SEED}, trouble {TROUBLE}")
        await asyncio.gather(*(self.traffic(queue) for queue in QUEUES),
                             *([self.trouble()] if TROUBLE else []))
        await asyncio.sleep(FINISH_S)
        wrong = await self.judge()
        for line in wrong:
            self.say(line)
            print(line)
        accepted = sum(job["accepted"] for job in self.jobs.values())
        print(f"seed {SEED}, trouble {TROUBLE}: {accepted} jobs accepted, "
              f"{len(wrong)} breaches")
        return 1 if wrong else 0

    def end(self, folder):
        for daemon in self.daemons:
            daemon.kill()
        lines = [f"{event['t']:9.3f} {json.dumps(event)}"
                 for event in self.world.events]
        path = pathlib.Path(os.environ.get("RECORD", folder / "record.txt"))
        path.write_text("\n".join(sorted(self.record + lines)) + "\n")


async def play(kind, case_folder):
    folder = deploy.temporary_folder()
    scenario = kind(folder)
    try:
        return await scenario.run()
    finally:
        scenario.end(case_folder)
        shutil.rmtree(folder, ignore_errors=True)


def main(kind, case_folder):
    """Play a scenario and exit: 1 broken, 0 held, 2 could not run."""
    try:
        code = asyncio.run(play(kind, case_folder))
    except Exception as exc:
        print(f"could not run: {exc!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
