"""The links of some workers refuse connections for 5.5 s; all workers run on."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import check  # noqa: E402
import scenario  # noqa: E402

# node_cut: 17% of the workers, for 5.5 s.
CUT_SHARE = 0.17
CUT_S = 5.5


class Refused(scenario.Scenario):
    """A proxy on the links resets connections and refuses new ones."""

    traffic_s = 30.0

    async def trouble(self):
        await asyncio.sleep(16.0)
        cut = self.random.sample(
            self.workers, int(CUT_SHARE * scenario.WORKERS))
        for worker in cut:
            self.say(f"link of worker {worker.id} is cut: connections are "
                     f"reset and refused; the worker runs on")
            await worker.cut_link()
        await asyncio.sleep(CUT_S)
        for worker in cut:
            await worker.mend_link()
            self.say(f"link of worker {worker.id} works again")

    async def judge(self):
        return check.twice(self.world.events)


if __name__ == "__main__":
    scenario.main(Refused, HERE)
