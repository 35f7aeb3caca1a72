"""Schedule colocated latency-critical and batch work across a shared fleet."""

__version__ = "0.1.0"
