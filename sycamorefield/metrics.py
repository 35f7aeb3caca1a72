"""Record latencies in HDR histograms and format metrics as text."""

import threading

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)


class Latencies:
    """HDR histograms of latencies in microseconds, one per name."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.histograms: dict[str, hdrh.histogram.HdrHistogram] = {}
        # The sum of all latencies in seconds, by name.
        self.totals_s: dict[str, float] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record one latency in seconds under name."""
        latency_us = max(LOWEST_US, min(HIGHEST_US, int(seconds * 1e6)))
        with self.lock:
            histogram = self.histograms.get(name)
            if histogram is None:
                histogram = hdrh.histogram.HdrHistogram(
                    LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
                self.histograms[name] = histogram
            histogram.record_value(latency_us)
            self.totals_s[name] = self.totals_s.get(name, 0.0) + seconds

    def summary(self) -> dict[str, dict[str, float]]:
        """Return count, p50, p99, p99.9 and maximum by name, in ms."""
        with self.lock:
            histograms = sorted(self.histograms.items())
        summaries = {}
        for name, histogram in histograms:
            # The lock is released between histograms so that threads that
            # record don't wait for all of them.
            with self.lock:
                summaries[name] = summarise(histogram)
        return summaries


def summarise(histogram: hdrh.histogram.HdrHistogram) -> dict[str, float]:
    """Return count, percentiles and maximum of one histogram, in ms."""
    summary: dict[str, float] = {"count": histogram.get_total_count()}
    percentiles_us = histogram.get_percentile_to_value_dict(PERCENTILES)
    for percentile in PERCENTILES:
        summary[f"p{percentile:g}_ms"] = percentiles_us.get(
            percentile, 0) / 1000.0
    summary["max_ms"] = histogram.get_max_value() / 1000.0
    return summary


# Latencies of the calls that this process makes, by kind.
CALLS = Latencies()


def as_text(gauges: dict[str, float], counts: dict[str, int]) -> str:
    """Return gauges, event counts and call latencies as lines of text."""
    lines = [f"{name} {value:.10g}"
             for name, value in sorted(gauges.items())]
    lines += [f'events_total{{event="{code}"}} {count}'
              for code, count in sorted(counts.items())]
    for kind, summary in CALLS.summary().items():
        lines += [f'call_{name}{{call="{kind}"}} {value:g}'
                  for name, value in summary.items()]
        lines.append(f'call_total_s{{call="{kind}"}} '
                     f'{CALLS.totals_s[kind]:.10g}')
    return "\n".join(lines) + "\n"
