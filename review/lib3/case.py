"""Run a case: exit with 1 if a rule was broken, 0 if not, 2 if it can't run."""

import asyncio
import os
import sys
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import rig as rig_mod  # noqa: E402


def main(scenario, folder, limit_s=110, **options):
    """Run a scenario with a rig; print the rules that it broke."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))

    async def run():
        rig = rig_mod.Rig(
            seed=seed, record=os.path.join(folder, "record.txt"), **options)
        try:
            await asyncio.wait_for(scenario(rig, trouble), limit_s)
            return rig.breaks
        finally:
            await rig.finish()
    try:
        breaks = asyncio.run(run())
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    for rule, fields in breaks[:10]:
        print(rule, fields)
    print(f"{len(breaks)} breaks; trouble {trouble}")
    sys.exit(1 if breaks else 0)
