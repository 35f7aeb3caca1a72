"""Run the entry process on the users' platform."""

import os
import random
import signal
import sys
import threading
import time
import typing

import cherrypy
from returns import result

from sycamorefield import events
from sycamorefield.fleet import clock
from sycamorefield.fleet import controlwatcher
from sycamorefield.fleet import forwarding
from sycamorefield.fleet import jobrequests as jobrequests_mod
from sycamorefield.fleet import owner as owner_mod
from sycamorefield.fleet import ownership as ownership_mod
from sycamorefield.fleet import policy as policy_mod
from sycamorefield.fleet import recentstarts
from sycamorefield.fleet import records
from sycamorefield.fleet import relayoffers
from sycamorefield.fleet import volunteer as volunteer_mod
from sycamorefield import metrics
from sycamorefield.platform import advice as advice_mod
from sycamorefield.platform import bootsettings
from sycamorefield.platform import bufferingserver
from sycamorefield.platform import configuration
from sycamorefield.platform import entrypeers
from sycamorefield.platform import front as front_mod
from sycamorefield.platform import reachprobe
from sycamorefield.platform import relaylistener
from sycamorefield.platform import store as store_mod
from sycamorefield.platform import workers as workers_mod
from sycamorefield import policysettings

# Path of the file with the policy options; defaults apply if it is unset.
POLICY_VARIABLE = "SYCAMOREFIELD_POLICY"
EXIT_INVALID_POLICY = 2

LISTEN_BACKLOG = 256
FRONT_THREADS = 16
ADMIN_THREADS = 2
PEER_THREADS = 4
# The load balancer sends no new connections after two failed readiness checks,
# 1 s apart.  Requests sent until then are answered before the listener closes.
DRAIN_S = 3.2
# A planned stop ends this long before the process would be killed, to leave
# time for the last log lines and for a slow VM.
STOP_MARGIN_S = 0.8
# The watch is answered every second; a store that has not answered for this
# long counts as unresponsive.
STORE_UNRESPONSIVE_S = 1.6


class Daemon:
    """An entry process: its listeners, store watcher and fleet ownership."""

    def __init__(self, settings: bootsettings.BootSettings,
                 policy: policy_mod.Policy = policy_mod.Policy()) -> None:
        self.settings = settings
        self.policy = policy
        self.store = store_mod.PlatformStore(
            settings.platform.addr, settings.platform.value_bytes)
        relay_key = records.relay_key(settings.node)
        self.watcher = controlwatcher.ControlWatcher(
            self.store, configuration.KEY, configuration.decode,
            configuration.EvacuationDecoder(settings.zones), relay_key,
            records.start_key(settings.node))
        self.job_requests = jobrequests_mod.JobRequestHandler(
            self.store, self._store_unresponsive, self.watcher.owner_claim,
            policy.reject_hopeless_jobs, self.watcher.owner_changes)
        self.advice = (advice_mod.PlatformAdvice(settings.advice)
                       if settings.advice else None)
        claim_delay_s = ownership_mod.claim_delay_s(
            settings.limits.cpu_share * settings.limits.cores,
            policy.weak_vms_wait)
        self.ownership = ownership_mod.Ownership(
            self.store, self.watcher, settings.node, self._make_owner,
            claim_delay_s, settings.ip if policy.replace_predecessor else "")
        self.start_announcement = recentstarts.StartAnnouncement(
            self.store, self.watcher, self.ownership.identity, claim_delay_s)
        self.volunteer = volunteer_mod.Volunteer(
            self.store, self.watcher, self.ownership.identity,
            reachprobe.TcpReachProbe(),
            lambda: self.ownership.owner is not None,
            is_weak_vm=claim_delay_s > 0.0)
        self.relay = relaylistener.TunnelListener(
            settings.ip, settings.relay_ports(),
            relaylistener.max_tunnels(settings.limits.max_fds))
        self.relay_offers = relayoffers.RelayOffers(
            self.store, self.watcher, relay_key, reachprobe.TcpReachProbe(),
            workers_mod.PlatformWorkerList(self.store), self.relay,
            lambda: self.ownership.owner is not None,
            is_weak_vm=claim_delay_s > 0.0)
        self.stop_requested = threading.Event()
        self.forwarder = forwarding.Forwarder(
            self._find_peers(settings), self._serves)
        self.front_app = front_mod.FrontApp(
            self.job_requests, self.watcher.configuration, self._ready,
            self.stop_requested.is_set, self._metrics_text, self.forwarder,
            (settings.listen.control or "").rpartition(":")[2])

    def _find_peers(self, settings: bootsettings.BootSettings
                    ) -> tuple[entrypeers.HttpEntryPeer, ...]:
        """Return the entry processes to which requests may be forwarded."""
        addresses = (settings.other_seeds()
                     if self.policy.forward_requests else [])
        # The processes that are turned away choose different peers.
        random.shuffle(addresses)
        return tuple(entrypeers.HttpEntryPeer(address)
                     for address in addresses)

    def _make_owner(self, fence: int) -> owner_mod.Owner:
        idle_clients = workers_mod.idle_order_clients(
            self.settings.limits.max_fds)
        return owner_mod.Owner(
            self.store, workers_mod.PlatformWorkerList(self.store),
            lambda entry: workers_mod.PlatformWorker(
                entry, idle_clients, self.watcher.relays.relays_of
                if self.policy.relay_calls else None),
            self.watcher.configuration, fence,
            self.settings.bounds.hold_max_ms, self.advice, self.policy,
            self.settings.bounds.stop_costs(), self.settings.bounds.status_s)

    def _ready(self) -> bool:
        """Return whether the load balancer may send new connections.

        A VM that gets no answer from the store can accept no job, so the load
        balancer sends callers to other VMs.  If the store is down for all VMs,
        none is ready, and the load balancer uses all of them.
        """
        return (self.watcher.configuration_known
                and not self.stop_requested.is_set()
                and not self._store_unresponsive())

    def _serves(self) -> bool:
        """Return whether this process can serve requests itself."""
        config = self.watcher.latest_configuration
        return (self.watcher.configuration_known
                and not self._store_unresponsive()
                and config.version >= self.forwarder.config_version)

    def _store_unresponsive(self) -> bool:
        return (clock.now() - self.watcher.last_answer_at
                >= STORE_UNRESPONSIVE_S)

    def _metrics_text(self) -> str:
        owner = self.ownership.owner
        gauges = {
            "config_version": float(self.watcher.latest_configuration.version),
            "store_reachable": float(self.watcher.store_reachable),
            "store_silence_s": clock.now() - self.watcher.last_answer_at,
            "fleet_owner": float(owner is not None),
            **self.relay.gauges(), **self.forwarder.gauges()}
        if self.job_requests.admission is not None:
            gauges.update(self.job_requests.admission.gauges())
        if owner is not None:
            gauges.update(owner.gauges())
        return metrics.as_text(gauges, dict(events.COUNTS))

    def run(self) -> None:
        """Serve until SIGTERM, then stop without dropping a request."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload())
        servers = self._start_servers()
        targets = [self.watcher.run, self.ownership.run, self.volunteer.run]
        if self.policy.prefer_recent_starts:
            targets.append(self.start_announcement.run)
        if self.policy.relay_calls:
            targets.append(self.relay_offers.run)
        if self.policy.forward_requests:
            targets.append(self.forwarder.run)
        for target in targets:
            threading.Thread(target=target, daemon=True).start()
        events.emit(events.PROCESS_STARTED, address=self.settings.ip,
                    metrics=self.settings.metrics_address(),
                    port_range=self.settings.port_range)
        if self.settings.orders != bootsettings.ORDERS_BY_RPC:
            # Only orders sent by calls to workers are implemented; another
            # value would require sending orders with workers' heartbeats.
            events.emit(events.SETTING_IGNORED, setting="orders",
                        value=self.settings.orders)
        self.stop_requested.wait()
        self._stop(servers)

    def _stop(self, servers: list[cherrypy._cpserver.Server]) -> None:
        """Hand over the fleet, answer late requests and close the listeners.

        Each of these waits for calls in progress, so they run concurrently
        and are abandoned at the deadline.  If the store does not answer, the
        last commit alone takes longer than the grace time: the process would
        be killed, and callers would lose requests that it had read.
        """
        deadline = clock.now() + self.settings.bounds.grace_s - STOP_MARGIN_S
        events.emit(events.PROCESS_STOPPING)
        self.volunteer.stop()
        self.relay_offers.stop()
        self.start_announcement.stop()
        handover = _start_thread(self.ownership.stop)
        time.sleep(DRAIN_S)
        server_stops = [_start_thread(server.stop) for server in servers]
        unfinished = [thread for thread in [handover, *server_stops]
                      if not _join_until(thread, deadline)]
        events.emit(events.PROCESS_STOPPED, unfinished=len(unfinished))

    def reload(self) -> None:
        """Log changed settings and use the addresses of other processes.

        The process's own addresses stay until a restart.
        """
        try:
            settings = bootsettings.load()
        except (OSError, ValueError) as exc:
            events.emit(events.SETTINGS_REJECTED, reason=str(exc))
            return
        changed = [name for name in type(settings).model_fields
                   if getattr(settings, name) != getattr(self.settings,
                                                         name)]
        events.emit(events.SETTINGS_RELOADED, changed=changed)
        if "seeds" in changed:
            self.forwarder.replace_peers(self._find_peers(settings))
        if self.ownership.owner is None:
            self.settings = settings

    def _start_servers(self) -> list[cherrypy._cpserver.Server]:
        cherrypy.config.update({"environment": "embedded",
                                "log.screen": False})
        cherrypy.server.unsubscribe()
        cherrypy.tree.graft(self.front_app, "/")
        listen = self.settings.listen
        servers = []
        for address, threads in ((listen.front, FRONT_THREADS),
                                 (listen.ready, ADMIN_THREADS),
                                 (listen.control, PEER_THREADS),
                                 (self.settings.metrics_address(),
                                  ADMIN_THREADS)):
            if address:
                servers.append(_start_server(address, threads))
        return servers


def _start_thread(target: typing.Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=target, daemon=True)
    thread.start()
    return thread


def _join_until(thread: threading.Thread, deadline: float) -> bool:
    """Wait until a deadline (clock.now()); return whether thread ended."""
    thread.join(max(0.0, deadline - clock.now()))
    return not thread.is_alive()


def _start_server(address: str, threads: int) -> cherrypy._cpserver.Server:
    host, _, port = address.rpartition(":")
    server = bufferingserver.ServerAdapter()
    server.socket_host = host
    server.socket_port = int(port)
    server.thread_pool = threads
    server.socket_queue_size = LISTEN_BACKLOG
    server.shutdown_timeout = 1
    server.start()
    return server


def main() -> None:
    """Run the entry process that the settings file describes."""
    settings = bootsettings.load()
    log = events.configure_stdout(settings.node, settings.zone)
    loaded = policysettings.load(os.environ.get(POLICY_VARIABLE))
    if not isinstance(loaded, result.Success):
        # Events are logged by a thread that would end before writing them.
        for finding in loaded.failure():
            print(f"policy options rejected: {finding}", file=sys.stderr)
        sys.exit(EXIT_INVALID_POLICY)
    Daemon(settings, loaded.unwrap()).run()
    log.finish()
    # Threads that wait for a response would otherwise delay the exit.
    os._exit(0)
