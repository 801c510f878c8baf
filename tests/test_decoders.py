"""Bad input from anyone: every decoder gives a clear error or a sound value, never a crash."""

import zlib

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackwheel.app import ALL_MESSAGES
from trackwheel.dispatch.models import Outcome, SubAnswer, Withdraw
from trackwheel.files.parse import parse_file
from trackwheel.files.stored import decode_head, decode_page
from trackwheel.gateway.bodies import ExecuteBody, QueryBody
from trackwheel.gateway.ledger import parse_id
from trackwheel.ini import InvalidIniError
from trackwheel.peers.codec import Codec
from trackwheel.peers.const import MAX_FRAME_BYTES, PROTOCOL_VERSION
from trackwheel.peers.errors import FrameError
from trackwheel.settings import parse_settings
from trackwheel.targets.models import HealthPage, TargetAnswer, WrongVersion

CODEC = Codec(ALL_MESSAGES)
VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | st.binary(),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=12,
)
NAMES = st.sampled_from([kind.__name__ for kind in ALL_MESSAGES])
FUZZ = settings(max_examples=400, deadline=None, derandomize=True)


@FUZZ
@given(st.binary(max_size=300))
def test_frames_of_any_bytes(frame: bytes) -> None:
    try:
        CODEC.decode(frame, "peer")
    except FrameError as error:
        assert error.problem.step == "decode"
        assert error.problem.peer == "peer"


@FUZZ
@given(NAMES, VALUE)
def test_frames_of_any_values(name: str, fields: object) -> None:
    frame = cbor2.dumps([PROTOCOL_VERSION, [[name, fields]]])
    try:
        messages = CODEC.decode(frame, "peer")
    except FrameError:
        return
    assert type(messages[0]).__name__ == name


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param([PROTOCOL_VERSION + 1, []], id="other-protocol"),
        pytest.param([PROTOCOL_VERSION, [["Nothing", []]]], id="unknown-message"),
        pytest.param([PROTOCOL_VERSION, [["Withdraw", ["q"]]]], id="missing-field"),
        pytest.param([PROTOCOL_VERSION, [["Withdraw", [1, []]]]], id="wrong-type"),
        pytest.param([], id="empty"),
        pytest.param("text", id="text"),
    ],
)
def test_frame_that_is_not_understood_is_refused(frame: object) -> None:
    with pytest.raises(FrameError):
        CODEC.decode(cbor2.dumps(frame), "peer")


def test_messages_come_back_as_they_went() -> None:
    answer = SubAnswer("q", 7, Outcome.WRONG_VERSION, b"\x00", [1, 2], 0.5, 1.5, 2.5)
    messages = [answer, Withdraw("q", [])]
    assert CODEC.decode(CODEC.encode(messages), "peer") == messages


@FUZZ
@given(st.text(max_size=400))
def test_operators_files_of_any_text(text: str) -> None:
    with pytest.raises(InvalidIniError):
        parse_file("fuzz.ini", text.encode("utf-8", "replace"))


@FUZZ
@given(st.binary(max_size=200))
def test_json_of_any_bytes(content: bytes) -> None:
    for kind in (QueryBody, ExecuteBody, TargetAnswer, WrongVersion, HealthPage):
        try:
            msgspec.json.decode(content, type=kind)
        except msgspec.DecodeError:
            continue
    for decode in (decode_head, decode_page):
        try:
            decode(content)
        except msgspec.DecodeError:
            continue


@FUZZ
@given(st.text(max_size=130))
def test_ids_of_any_text(text: str) -> None:
    parsed = parse_id(text)
    assert parsed is None or text.startswith(parsed.boot)


GOOD_SETTINGS = """\
[box]
id = box-1
region = muc
failure_domain = muc-a
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
[platform]
key_value = http://127.0.0.1:4
box_list = http://127.0.0.1:5
"""


def test_good_settings() -> None:
    parsed = parse_settings("box.ini", GOOD_SETTINGS)
    assert parsed.box_id == "box-1"
    assert parsed.tls is None


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        pytest.param("id = box-1", "", "box", "id", id="missing"),
        pytest.param("id = box-1", "id = box 1", "box", "id", id="two-words"),
        pytest.param("127.0.0.1:1", "127.0.0.1", "listen", "callers", id="no-port"),
        pytest.param("http://127.0.0.1:4", "127.0.0.1:4", "platform", "key_value", id="no-url"),
        pytest.param("[platform]", "[log]\nlevel = loud\n[platform]", "log", "level", id="level"),
        pytest.param("[platform]", "[fleet]\ndrain = 3\n[platform]", "fleet", "drain", id="unit"),
        pytest.param(
            "[platform]", "[tls]\nauthority = x\n[platform]", "tls", "certificate", id="tls"
        ),
        pytest.param("region = muc", "region = muc\ncolour = red", "box", "colour", id="unknown"),
        pytest.param("[box]", "[pox]\n[box]", "pox", "", id="section"),
    ],
)
def test_bad_settings_are_named(old: str, new: str, section: str, key: str) -> None:
    with pytest.raises(InvalidIniError) as caught:
        parse_settings("box.ini", GOOD_SETTINGS.replace(old, new, 1))
    assert (section, key) in [(error.section, error.key) for error in caught.value.errors]
    assert all(error.remedy for error in caught.value.errors)


def test_large_frames_are_packed_and_read_back() -> None:
    messages = [Withdraw("a query's id", [])] * 20
    frame = CODEC.encode(messages)
    assert len(frame) < len(cbor2.dumps(messages)) / 2
    assert CODEC.decode(frame, "peer") == messages


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"no zlib", id="garbage"),
        pytest.param(zlib.compress(cbor2.dumps([]))[:-4], id="cut-off"),
        pytest.param(zlib.compress(cbor2.dumps(b"0" * (MAX_FRAME_BYTES + 1))), id="too-large"),
        pytest.param(zlib.compress(b"\xff"), id="garbage-inside"),
    ],
)
def test_packed_garbage_is_a_frame_error(packed: bytes) -> None:
    with pytest.raises(FrameError):
        CODEC.decode(cbor2.dumps([PROTOCOL_VERSION, packed]), "peer")
