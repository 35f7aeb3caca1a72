"""Command line of sycamorefield, which starts every process and tool."""

import dataclasses
import json
import signal
import sys
import threading
import typing

import cyclopts
from returns import result
import urllib3

from sycamorefield import backend
from sycamorefield import entry as entry_mod
from sycamorefield import errors
from sycamorefield import events
from sycamorefield import explain as explain_mod
from sycamorefield import historyreader
from sycamorefield import httpserver
from sycamorefield import kvclient
from sycamorefield import kvstore
from sycamorefield import load as load_mod
from sycamorefield import logfiles
from sycamorefield import options
from sycamorefield.platform import daemon
from sycamorefield import policysettings
from sycamorefield import settings
from sycamorefield import sycamorefield_pb2 as pb
from sycamorefield import timeline as timeline_mod
from sycamorefield import vmlist

T = typing.TypeVar("T")

app = cyclopts.App(name="sycamorefield",
                   help="Schedule colocated latency-critical and batch work.")
rules_app = cyclopts.App(name="rules", help="Read and change the rules.")
faults_app = cyclopts.App(name="faults", help="Inject faults into stand-ins.")
app.command(rules_app)
app.command(faults_app)

EXIT_SETTINGS = 2
EXIT_NOT_FOUND = 3


def _load_options(path: str | None) -> options.Options:
    return _unwrap_or_exit(settings.load(path))


def _unwrap_or_exit(loaded: result.Result[T, list[errors.Finding]]) -> T:
    """Return the loaded value, or print the findings and exit."""
    if isinstance(loaded, result.Success):
        return loaded.unwrap()
    findings = loaded.failure()
    print(f"settings rejected: {len(findings)} finding(s)", file=sys.stderr)
    for finding in findings:
        print(f"  {finding}", file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def _wait_for_signal() -> None:
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *args: stop.set())
    signal.signal(signal.SIGINT, lambda *args: stop.set())
    while not stop.wait(0.2):
        pass


@app.command
def check(path: str | None = None) -> None:
    """Validate a settings file and report all findings."""
    opts = _load_options(path)
    print(f"settings valid: {opts.deployment}, {len(opts.machines)} workers, "
          f"{len(opts.entries)} entry processes")


@app.command
def check_policy(path: str) -> None:
    """Validate a file of policy options and report all findings."""
    policy = _unwrap_or_exit(policysettings.load(path))
    disabled = [name for name, on in dataclasses.asdict(policy).items()
                if not on]
    print(f"policy valid, disabled: {', '.join(disabled) or 'nothing'}")


@app.command
def entry(name: str, *, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None,
        policy: str = "guarded") -> None:
    """Run an entry process."""
    opts = _load_options(settings_path)
    spec = opts.entry(name)
    events.configure(name, spec.zone, opts.log_dir)
    process = entry_mod.EntryProcess(opts, name, policy)
    process.start()
    events.emit(events.PROCESS_STARTED, role="entry",
                port=spec.http_port, policy=policy)
    _wait_for_signal()
    process.stop()


@app.command
def platform() -> None:
    """Run an entry process on the users' platform.

    Its settings are read from the file named by SYCAMOREFIELD_BOOT.
    """
    daemon.main()


@app.command
def kv(*, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None) -> None:
    """Run the stand-in of the platform's key-value service."""
    opts = _load_options(settings_path)
    events.configure("kv", "", opts.log_dir)
    server, store = kvstore.serve(opts.host, opts.kv_port,
                                  opts.kv_writes_per_second)
    events.emit(events.PROCESS_STARTED, role="kv", port=opts.kv_port)
    _wait_for_signal()
    store.stopped.set()
    server.stop(1.0).wait()
    events.emit(events.PROCESS_STOPPED, calls=dict(store.calls))


@app.command
def worker(name: str, *, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None) -> None:
    """Run the stand-in of one worker and its backend server."""
    opts = _load_options(settings_path)
    spec = opts.machine(name)
    events.configure(name, spec.zone, opts.log_dir)
    server, machine = backend.serve(opts, name)
    _wait_for_signal()
    machine.stopped.set()
    server.stop(1.0).wait()
    httpserver.stop()
    events.emit(events.PROCESS_STOPPED)


@app.command(name="vm-list")
def vm_list(*, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None) -> None:
    """Run the stand-in of the platform's list of live and leaving VMs."""
    opts = _load_options(settings_path)
    events.configure("vm-list", "", opts.log_dir)
    vmlist.serve(opts)
    events.emit(events.PROCESS_STARTED, role="vm-list",
                port=opts.vm_list_port)
    _wait_for_signal()
    httpserver.stop()
    events.emit(events.PROCESS_STOPPED)


@app.command
def load(*, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None,
        seconds: float | None = None, out: str | None = None) -> None:
    """Generate a mixed load for the deployment and print the results."""
    opts = _load_options(settings_path)
    events.configure("load", "", opts.log_dir)
    report = load_mod.run(opts, seconds)
    text = json.dumps(report, indent=2)
    if out:
        with open(out, "w", encoding="utf-8") as handle:
            handle.write(text)
    print(load_mod.render(report))


def _read_logs(paths: typing.Iterable[str]) -> logfiles.ParsedLogs:
    """Read logs, and print the number of skipped lines to stderr."""
    try:
        reading = logfiles.read(paths)
    except OSError as exc:
        print(f"cannot read logs: {exc}", file=sys.stderr)
        sys.exit(EXIT_NOT_FOUND)
    if reading.skipped_lines:
        print(f"{reading.skipped_lines} line(s) skipped that are no log lines",
              file=sys.stderr)
    return reading


@app.command
def timeline(*paths: str, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None,
        log_dir: str | None = None, out: str | None = None,
        request_id: str | None = None, job_id: typing.Annotated[
            str | None, cyclopts.Parameter(name="--id")] = None) -> None:
    """Merge the logs of all processes into one timeline.

    The logs are files or folders, with plain log lines or lines prefixed with
    time and process; by default, the log folder of the settings is read.
    """
    sources = [*paths, *([log_dir] if log_dir else [])]
    reading = _read_logs(sources or [_load_options(settings_path).log_dir])
    lines = timeline_mod.filter_lines(reading.lines, job_id, request_id)
    if out:
        count = timeline_mod.write(lines, out)
        print(f"{count} events written to {out}")
        return
    for line in lines:
        print(timeline_mod.render(line))


@app.command
def explain(job_id: str, *paths: str) -> None:
    """Print from logs what happened to a job, and the likely cause.

    The logs are files or folders, with plain log lines or lines prefixed with
    time and process.
    """
    if not paths:
        print("name the logs to read: files or folders", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    reading = _read_logs(paths)
    history = historyreader.read_history(reading.lines, job_id)
    if history is None:
        print(f"no line of these {len(reading.lines)} events names job "
              f"{job_id}", file=sys.stderr)
        sys.exit(EXIT_NOT_FOUND)
    for line in explain_mod.render(history):
        print(line)


def _call_admin(url: str, method: str, path: str,
                body: dict[str, object] | None = None) -> None:
    http = urllib3.PoolManager()
    reply = http.request(method, url.rstrip("/") + path,
                         body=json.dumps(body or {}).encode(),
                         headers={"Content-Type": "application/json"},
                         timeout=5.0, retries=False)
    print(json.dumps(json.loads(reply.data), indent=2))
    if reply.status >= 400:
        sys.exit(1)


@rules_app.command(name="list")
def rules_list(*, url: str = "http://127.0.0.1:17410") -> None:
    """List the rules in force, with their revision."""
    _call_admin(url, "GET", "/admin/rules")


@rules_app.command(name="add")
def rules_add(name: str, *, url: str = "http://127.0.0.1:17410",
              when: str = "{}", then: str = "{}",
              position: int | None = None,
              expected_revision: int | None = None) -> None:
    """Add a rule; --when and --then are JSON objects."""
    _call_admin(url, "POST", "/admin/rules", {
        "rule": {"name": name, "when": json.loads(when),
                 "then": json.loads(then)},
        "position": position, "expected_revision": expected_revision})


@rules_app.command(name="retire")
def rules_retire(name: str, *, url: str = "http://127.0.0.1:17410",
                 expected_revision: int | None = None) -> None:
    """Retire a rule by name."""
    _call_admin(url, "DELETE", f"/admin/rules/{name}",
                {"expected_revision": expected_revision})


@rules_app.command(name="move")
def rules_move(name: str, position: int, *,
               url: str = "http://127.0.0.1:17410",
               expected_revision: int | None = None) -> None:
    """Move a rule to a new position (0 is first)."""
    _call_admin(url, "POST", f"/admin/rules/{name}/move",
                {"position": position, "expected_revision": expected_revision})


@faults_app.command(name="kv")
def faults_kv(*, settings_path: typing.Annotated[
        str | None, cyclopts.Parameter(name="--settings")] = None,
        down: bool = False, delay_ms: int = 0,
        lose_reply_ratio: float = 0.0) -> None:
    """Make the key-value stand-in be down, be slow or lose replies."""
    opts = _load_options(settings_path)
    client = kvclient.Client(opts.kv_target)
    print(client.set_faults(pb.KvFaults(
        down=down, delay_ms=delay_ms, lose_reply_ratio=lose_reply_ratio)))


def main() -> None:
    """Run the command line."""
    app()
