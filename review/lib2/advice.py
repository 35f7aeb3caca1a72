"""Stand-in of the advice service: all workers may run all steps.

Usage: advice.py ADDRESS DECIDE_MS PERIOD_MS VALID_MS
"""

import asyncio
import sys

import httpserver


async def _main(address: str, decide_ms: str, period_ms: str,
                valid_ms: str) -> None:
    turn = asyncio.Lock()

    async def serve(request: httpserver.Request
                    ) -> tuple[int, httpserver.Body]:
        step, workers = request.body["step"], request.body["workers"]
        async with turn:
            await asyncio.sleep((int(decide_ms) + int(period_ms)
                                 * len(workers)) / 1000.0)
        return 200, {"valid_ms": int(valid_ms), "good": [
            [worker, httpserver.ticket(step, worker)] for worker in workers]}

    host, _, port = address.rpartition(":")
    await httpserver.listen(host, int(port), serve)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
