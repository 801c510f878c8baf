"""The cause of a request's end, found by its id in the logs of several boxes."""

import pytest

from trackwheel.telemetry.timeline import make_timeline, read_log

LOG = """\
  1.23 front-1 {"at":10.2,"box":"front-1","event":"target_failed","id":"a","target":"i-1","outcome":"not_run","detail":"status 503"}
{"at":10.1,"box":"front-1","event":"target_failed","id":"b","target":"i-2","outcome":"broken","detail":"reset"}
{"at":10.4,"box":"front-1","event":"query_partial","id":"a","missing":1,"reason":"aim","lacking":"s1: awaited of i-3","took_ms":100.5}
{"at":99.0,"box":"front-2","event":"group_end","id":"a","peer":"front-1","shards":6,"missing":1}
{"at":11.0,"box":"front-1","event":"given_up","id":"b","ran":true,"reason":"reset","took_ms":7.0}
{"at":11.0,"box":"front-1","event":"given_up","id":"c","ran":false,"reason":"no target is known","took_ms":0.1}
{"at":11.0,"box":"front-1","event":"given_up","id":"i","ran":false,"reason":"no configuration is known yet"}
{"at":11.0,"box":"front-1","event":"client_left","id":"d","took_ms":300.0}
{"at":11.0,"box":"front-1","event":"no_route","id":"e","path":"/x/","version":7}
{"at":11.0,"box":"front-1","event":"query_whole","id":"f","took_ms":20.0}
{"at":11.0,"box":"front-1","event":"refused","id":"j","group":"clerks","status":429,"cause":"limit","reason":"the limit is reached","took_ms":0.4}
{"at":11.0,"box":"front-1","event":"refused","id":"k","group":"","status":401,"cause":"key_unknown","reason":"the key belongs to no group","took_ms":0.1}
{"at":11.0,"box":"front-1","event":"held_request","id":"l","left_s":12.5}
{"at":11.0,"box":"front-2","event":"group_end","id":"g","shards":6,"missing":1}
a line of another program
{"at":11.0,"box":"front-2","event":"group_e
"""  # noqa: E501


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        ("a", "answered after 100.5 ms (aim) without s1: awaited of i-3"),
        ("b", "given up after 7.0 ms, targets may have run it: broken at i-2 (reset)"),
        ("c", "given up after 0.1 ms, no target ran it: no target is known"),
        ("d", "the client left after 300.0 ms"),
        ("e", "version 7 has no route for /x/"),
        ("f", "answered after 20.0 ms"),
        ("g", "no box wrote its end: the box that took it ended, or left the line out"),
        ("i", "given up at once, no target ran it: no configuration is known yet"),
        ("j", "refused after 0.4 ms of group clerks, 429 limit: the limit is reached"),
        ("k", "refused after 0.1 ms, 401 key_unknown: the key belongs to no group"),
        ("l", "refused at once, targets crashed under it: held for 12.5 s"),
        ("h", "no box wrote of it: another id, or its lines were left out (`left_out`)"),
    ],
)
def test_cause(request_id: str, cause: str) -> None:
    assert make_timeline(read_log(LOG), request_id).cause == cause


def test_peer_lines_come_before_those_of_the_answering_box() -> None:
    timeline = make_timeline(read_log(LOG), "a")
    assert [(line.box, line.event) for line in timeline.lines] == [
        ("front-2", "group_end"),
        ("front-1", "target_failed"),
        ("front-1", "query_partial"),
    ]


def test_lines_of_other_programs_are_skipped() -> None:
    assert len(read_log(LOG)) == 14
    assert read_log("") == []
