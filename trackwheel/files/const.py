"""Names, defaults and limits of operators' files."""

from typing import Final

SECTION_FILE: Final = "file"
KIND_GROUP: Final = "group"
KIND_SERVICE: Final = "service"
KIND_TARGETS: Final = "targets"
KIND_POLICY: Final = "policy"

CONF_NAME: Final = "name"
CONF_KEY_SHA256: Final = "key_sha256"
CONF_SHARE: Final = "share"
CONF_SERVICES: Final = "services"
CONF_SLOTS: Final = "slots"
CONF_CONNECTIONS: Final = "connections"
CONF_NEW_CONNECTION: Final = "new_connection"
CONF_DEADLINE: Final = "deadline"
CONF_WAIT: Final = "wait"
CONF_LEAST_COVERAGE: Final = "least_coverage"
CONF_EXTRA_LOAD: Final = "extra_load"
CONF_OBJECTIVE: Final = "objective"

DEFAULT_NEW_CONNECTION: Final = 0.006
DEFAULT_LEAST_COVERAGE: Final = 1.0
DEFAULT_EXTRA_LOAD: Final = 0.05
DEFAULT_OBJECTIVE: Final = 0.99

MAX_FILE_BYTES: Final = 1_000_000
"""The platform's service holds values up to a megabyte."""

PAGE_DIGEST_DIGITS: Final = 32
"""Half of a SHA-256 tells pages apart for certain and halves the head, which is read most."""

MAX_BATCH_BYTES: Final = 2_000_000
"""Contents go from box to box in messages of about this size; a frame holds several times that."""

MAX_RECENT_APPLIES: Final = 128
"""How many apply ids a manifest keeps, so that a lost reply can be read back."""

KEY_MANIFEST: Final = "trackwheel/manifest"
KEY_CONTENT_PREFIX: Final = "trackwheel/content/"
KEY_PAGE_PREFIX: Final = "trackwheel/page/"
MANIFEST_PAGES: Final = 128
"""A manifest is kept in this many pages by file name, so that a change moves one of them."""

APPLY_TIME_S: Final = 10.0
APPLY_PAUSE_S: Final = 0.1
WATCH_PAUSE_FIRST_S: Final = 0.2
WATCH_PAUSE_LAST_S: Final = 5.0
NOT_WATCHING_PAUSE_S: Final = 0.5
FORWARD_SPREAD_S: Final = 1.0
"""Watchers that find an older store wait up to this long, so that one of them writes."""
CONFIRM_WAIT_S: Final = 4.0
ASK_WAIT_S: Final = 0.5
ASK_PERIOD_S: Final = 0.05
