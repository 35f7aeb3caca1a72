"""Run pytest passing over the tests listed in KNOWN-RED.txt, and print them.

KNOWN-RED.txt holds at most three lines, each "test id; command and seed; what
was seen; issue".
"""

import os
import subprocess
import sys

MAX_ENTRIES = 3
KNOWN_RED_PATH = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")


def read_known_red() -> list[str]:
    """Return the listed test ids; exit 2 when more than three are listed."""
    if not os.path.exists(KNOWN_RED_PATH):
        return []
    with open(KNOWN_RED_PATH, encoding="utf-8") as handle:
        lines = [line.strip() for line in handle if line.strip()]
    if len(lines) > MAX_ENTRIES:
        print(f"KNOWN-RED.txt lists {len(lines)} tests; {MAX_ENTRIES} at most")
        sys.exit(2)
    for line in lines:
        print(f"known red, passed over: {line}")
    return [line.split(";")[0].strip() for line in lines]


def main() -> int:
    """Run the given pytest command with the known-red tests deselected."""
    command = sys.argv[1:]
    for test_id in read_known_red():
        command += ["--deselect", test_id]
    return subprocess.call(command)


if __name__ == "__main__":
    sys.exit(main())
