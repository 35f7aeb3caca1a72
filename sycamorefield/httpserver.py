"""Run the cherrypy HTTP server of a process."""

import cherrypy

# Connections that the kernel queues for accept().  With cherrypy's default
# of 5, connections were reset at 40 to 60 concurrent new connections, as
# in test_endtoend.
LISTEN_BACKLOG = 512
THREAD_POOL_SIZE = 60


def start(host: str, port: int, app: object, **extra_settings: object) -> None:
    """Serve app on host:port with additional cherrypy settings.

    The names in extra_settings have two underscores instead of each dot.
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
    """Close the listener; requests already accepted are still answered."""
    cherrypy.server.stop()


def stop() -> None:
    """Stop the server and the cherrypy engine."""
    cherrypy.engine.exit()
