"""Serve one cherrypy application per process, with the same settings."""

import cherrypy

# Connections the kernel holds for accept(); cherrypy's default of 5 reset
# callers under 40-60 concurrent new connections (seen in test_endtoend).
LISTEN_BACKLOG = 512
THREAD_POOL_SIZE = 60


def start(host: str, port: int, app: object, **extra_settings: object) -> None:
    """Listen on host:port and serve app; more adds cherrypy settings.

    Setting names in more use two underscores where cherrypy has a dot.
    """
    cherrypy.config.update({
        "server.socket_host": host, "server.socket_port": port,
        "server.thread_pool": THREAD_POOL_SIZE,
        "server.socket_queue_size": LISTEN_BACKLOG,
        "server.shutdown_timeout": 1, "engine.autoreload.on": False,
        "log.screen": False, "checker.on": False,
        "environment": "embedded"})
    cherrypy.config.update({name.replace("__", "."): value
                            for name, value in extra_settings.items()})
    cherrypy.tree.mount(app, "/")
    cherrypy.engine.start()


def stop_listening() -> None:
    """Close the listener; answer what was accepted."""
    cherrypy.server.stop()


def stop() -> None:
    """Stop serving."""
    cherrypy.engine.exit()
