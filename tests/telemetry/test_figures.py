"""Metrics of a box on the platform as text."""

from collections import Counter

from trackwheel.telemetry.figures import MAX_ROUTES, Figures


def test_metrics_are_rendered_as_text() -> None:
    figures = Figures()
    sends = Counter({("hedge", "far"): 3})
    figures.add_counters("target_sends_total", "Sends", ("reason", "distance"), lambda: sends)
    figures.add_gauge("members", "Boxes", lambda: 7.0)
    figures.observe_request("r", 0.03)
    text = figures.render()[0].decode()
    assert 'trackwheel_target_sends_total{distance="far",reason="hedge"} 3' in text
    assert "trackwheel_members 7" in text
    assert 'trackwheel_request_seconds_bucket{le="0.05",route="r"} 1' in text
    sends["hedge", "far"] = 4
    assert 'reason="hedge"} 4' in figures.render()[0].decode()


def test_number_of_route_histograms_is_bounded() -> None:
    figures = Figures()
    for number in range(10_000):
        figures.observe_request(f"r{number}", 0.1)
    text = figures.render()[0].decode()
    assert text.count("trackwheel_request_seconds_count") <= MAX_ROUTES + 2
    assert 'route="other"' in text


def test_labels_that_are_no_longer_counted_are_dropped() -> None:
    figures = Figures()
    counts = Counter({("gone", "whole"): 3, ("stays", "whole"): 1})
    figures.add_counters("group_requests_total", "Requests", ("group", "kind"), lambda: counts)
    assert "gone" in figures.render()[0].decode()
    del counts["gone", "whole"]
    text = figures.render()[0].decode()
    assert "gone" not in text
    assert 'group="stays"' in text


def test_labels_are_escaped() -> None:
    figures = Figures()
    counts = Counter({('a"b\\c', "whole"): 3})
    figures.add_counters("group_requests_total", "Requests", ("group", "kind"), lambda: counts)
    assert r'group="a\"b\\c"' in figures.render()[0].decode()
