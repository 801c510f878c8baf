"""Messages between boxes: processor time of one sub-request by how many share a frame."""

from bench.fit import cpu_of, fit
from bench.report import Report, Series
from bench.slopes import link_batch
from trackwheel.garbage import tune_garbage_collection

SIZES = (1, 2, 4, 8, 16, 32, 64, 128)


def measure(long: bool) -> Report:
    """Encode and decode scatters and their answers in batches of several sizes."""
    tune_garbage_collection()
    each = {size: cpu_of(link_batch(size), 0.6 if long else 0.2) / size * 1e6 for size in SIZES}
    line = fit(SIZES, [each[size] * size for size in SIZES])
    rows = [(f"{size} to a frame: CPU a sub-request", f"{each[size]:.1f} us") for size in SIZES]
    return Report(
        "batch",
        0,
        "one sub-request to a frame",
        {
            "cpu_ratio_16": each[16] / each[1],
            "cpu_ratio_64": each[64] / each[1],
            "cpu_us_each": line.slope,
            "cpu_us_a_frame": line.intercept,
            "fit_residual": line.residual,
        },
        {"sizes": len(SIZES)},
        rows,
        [Series("CPU", [float(size) for size in SIZES], [each[size] for size in SIZES])],
        "sub-requests to a frame",
        "us a sub-request",
    )
