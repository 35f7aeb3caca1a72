"""Run the entry process on the users' platform."""

from sycamorefield.platform import daemon

if __name__ == "__main__":
    daemon.main()
