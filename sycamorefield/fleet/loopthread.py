"""Run an event loop in a thread of its own."""

import asyncio
import threading
import typing

Coroutine = typing.Coroutine[typing.Any, typing.Any, None]


class LoopThread:
    """Run coroutines until they have returned and no more may come.

    One thread serves any number of them: a thread for each connection of a
    large fleet needs more threads than a process may have.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        # Guards the fields below, and the loop against being used once it is
        # closed.
        self.lock = threading.Lock()
        self.started = False
        self.stopping = False
        self.closed = False
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine) -> None:
        """Run a coroutine in the loop; drop it if the loop is stopping."""
        with self.lock:
            if self.stopping:
                coroutine.close()
                return
            try:
                self._start()
            except BaseException:
                coroutine.close()
                raise
            self.loop.call_soon_threadsafe(self._create_task, coroutine)

    def _start(self) -> None:
        if not self.started:
            threading.Thread(target=self._run, daemon=True).start()
            self.started = True

    def call_soon(self, callback: typing.Callable[[], object]) -> None:
        """Call a function in the loop soon; do nothing if it is closed."""
        with self.lock:
            if not self.closed:
                self.loop.call_soon_threadsafe(callback)

    def stop(self) -> None:
        """End the thread once all coroutines have returned."""
        with self.lock:
            if self.stopping:
                return
            self.stopping = True
            if self.started:
                self.loop.call_soon_threadsafe(self._stop_if_idle)
            else:
                self.closed = True
                self.loop.close()

    def _create_task(self, coroutine: Coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self._stop_if_idle()

    def _stop_if_idle(self) -> None:
        if self.stopping and not self.tasks:
            self.loop.stop()

    def _run(self) -> None:
        self.loop.run_forever()
        with self.lock:
            self.closed = True
            self.loop.close()
