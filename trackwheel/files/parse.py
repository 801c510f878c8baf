"""Reading and checking operators' files, each one whole and then all together."""

import re
import sys
from collections.abc import Iterable
from typing import Final

from trackwheel.addresses import split_address
from trackwheel.files.const import (
    CONF_CONNECTIONS,
    CONF_DEADLINE,
    CONF_EXTRA_LOAD,
    CONF_KEY_SHA256,
    CONF_LEAST_COVERAGE,
    CONF_NAME,
    CONF_NEW_CONNECTION,
    CONF_OBJECTIVE,
    CONF_SERVICES,
    CONF_SHARE,
    CONF_SLOTS,
    CONF_WAIT,
    DEFAULT_EXTRA_LOAD,
    DEFAULT_LEAST_COVERAGE,
    DEFAULT_NEW_CONNECTION,
    DEFAULT_OBJECTIVE,
    KIND_GROUP,
    KIND_POLICY,
    KIND_SERVICE,
    KIND_TARGETS,
    MAX_FILE_BYTES,
    SECTION_FILE,
)
from trackwheel.files.models import (
    GroupSpec,
    InForce,
    OperatorsFile,
    Policy,
    ServiceSpec,
    TargetSpec,
)
from trackwheel.ini import (
    IniError,
    IniReader,
    InvalidIniError,
    parse_count,
    parse_duration,
    parse_fraction,
    parse_positive,
    parse_words,
)

_DIGEST: Final = re.compile(r"^[0-9a-f]{64}$")
_NAME: Final = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")
_TARGET_PARTS: Final = 3


def _parse_name(text: str) -> str:
    if not _NAME.match(text):
        raise ValueError("a name has 1 to 64 letters, digits, dots, dashes or underscores")
    return text


def _parse_digest(text: str) -> str:
    if not _DIGEST.match(text):
        raise ValueError("it is the SHA-256 of the group's key in 64 lower-case hex digits")
    return text


def _parse_target(text: str) -> TargetSpec:
    parts = text.split("/")
    if len(parts) != _TARGET_PARTS or not all(parts):
        raise ValueError("a target is written REGION/FAILURE_DOMAIN/IP:PORT")
    split_address(parts[2])
    # Few names stand for many targets: each is kept once.
    region, failure_domain = map(sys.intern, parts[:2])
    return TargetSpec(address=parts[2], region=region, failure_domain=failure_domain)


def decode_text(file: str, content: bytes) -> str:
    """Return a file's text; raise `InvalidIniError` when it is too large or not UTF-8."""
    if len(content) > MAX_FILE_BYTES:
        detail = f"the file has {len(content)} bytes, the store holds {MAX_FILE_BYTES}"
        raise InvalidIniError([IniError(file, "", "", detail, "Split it into several named files")])
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        detail = f"byte {error.start} is not UTF-8"
        raise InvalidIniError([IniError(file, "", "", detail, "Save the file as UTF-8")]) from error


def parse_file(file: str, content: bytes) -> OperatorsFile:
    """Return one checked file; raise `InvalidIniError` that name every mistake in it."""
    reader = IniReader(file, decode_text(file, content))
    return _FileParser(reader).parse()


class _FileParser:
    """Turn the sections of one file into its declarations."""

    def __init__(self, reader: IniReader) -> None:
        self._reader = reader
        self._section_by_kind_and_names: dict[tuple[str, ...], str] = {}

    def parse(self) -> OperatorsFile:
        self._sort_sections()
        name = self._reader.get(SECTION_FILE, CONF_NAME, _parse_name)
        groups = {group.name: group for group in self._groups()}
        services = {service.name: service for service in self._services()}
        policies = self._policies(services)
        self._reader.check_unknown()
        self._reader.finish()
        return OperatorsFile(name, groups, services, policies)

    def _sort_sections(self) -> None:
        arity = {KIND_GROUP: 1, KIND_SERVICE: 1, KIND_TARGETS: 1, KIND_POLICY: 2}
        for section in self._reader.sections():
            if section == SECTION_FILE:
                continue
            kind, *names = section.split()
            if kind in arity and len(names) == arity[kind] and all(map(_NAME.match, names)):
                self._section_by_kind_and_names[(kind, *names)] = section
                continue
            remedy = "Use [file], [group G], [service S], [targets S] or [policy G S]"
            self._reader.fail(section, "", "the section is unknown", remedy)
            self._reader.keys(section)

    def _of_kind(self, kind: str) -> list[tuple[tuple[str, ...], str]]:
        found = self._section_by_kind_and_names.items()
        return [(names[1:], section) for names, section in found if names[0] == kind]

    def _groups(self) -> Iterable[GroupSpec]:
        for (name,), section in self._of_kind(KIND_GROUP):
            remedy = "Give the group a share above zero"
            yield GroupSpec(
                name=name,
                key_sha256=self._reader.get(section, CONF_KEY_SHA256, _parse_digest),
                share=self._reader.get(section, CONF_SHARE, parse_positive, remedy=remedy),
                services=self._reader.get(section, CONF_SERVICES, parse_words, ()),
            )

    def _services(self) -> Iterable[ServiceSpec]:
        for (name,), section in self._of_kind(KIND_SERVICE):
            get = self._reader.get
            yield ServiceSpec(
                name=name,
                slots=get(section, CONF_SLOTS, parse_count),
                connections=get(section, CONF_CONNECTIONS, parse_count),
                new_connection_s=get(
                    section, CONF_NEW_CONNECTION, parse_duration, DEFAULT_NEW_CONNECTION
                ),
                extra_load=get(section, CONF_EXTRA_LOAD, parse_fraction, DEFAULT_EXTRA_LOAD),
                objective=get(section, CONF_OBJECTIVE, parse_fraction, DEFAULT_OBJECTIVE),
                policy=self._policy(section),
                targets_by_instance=self._targets(name, section),
            )
        for (name,), section in self._of_kind(KIND_TARGETS):
            if (KIND_SERVICE, name) not in self._section_by_kind_and_names:
                remedy = f"Add [service {name}] or remove the section"
                self._reader.fail(section, "", "no such service is declared", remedy)
                self._reader.keys(section)

    def _policy(self, section: str) -> Policy:
        get = self._reader.get
        deadline_s = get(section, CONF_DEADLINE, parse_duration)
        wait_s = get(section, CONF_WAIT, parse_duration, deadline_s or 0.0)
        least = get(section, CONF_LEAST_COVERAGE, parse_fraction, DEFAULT_LEAST_COVERAGE)
        if deadline_s is not None and wait_s < deadline_s:
            remedy = "Make wait at least as long as deadline"
            self._reader.fail(section, CONF_WAIT, "wait is shorter than deadline", remedy)
        if deadline_s is not None and deadline_s <= 0:
            self._reader.fail(section, CONF_DEADLINE, "the deadline is zero", "Make it longer")
        return Policy(deadline_s, wait_s, least)

    def _targets(self, service: str, service_section: str) -> tuple[tuple[TargetSpec, ...], ...]:
        section = self._section_by_kind_and_names.get((KIND_TARGETS, service))
        if section is None or not self._reader.keys(section):
            remedy = f"Add [targets {service}] with one key per instance"
            self._reader.fail(service_section, "", "the service has no targets", remedy)
            return ()
        keys = self._reader.keys(section)
        if sorted(keys) != sorted(str(number) for number in range(len(keys))):
            remedy = "Number the instances 0, 1, 2, ... without gaps"
            self._reader.fail(section, "", "the instances are not numbered in order", remedy)
            return ()
        return tuple(self._instance(section, str(number)) for number in range(len(keys)))

    def _instance(self, section: str, key: str) -> tuple[TargetSpec, ...]:
        words = parse_words(self._reader.raw(section, key))
        if not words:
            self._reader.fail(section, key, "the instance has no targets", "Name at least one")
        targets = []
        for word in words:
            try:
                targets.append(_parse_target(word))
            except ValueError as error:
                self._reader.fail(section, key, f"`{word}` is not valid: {error}", "Correct it")
        return tuple(targets)

    def _policies(self, services: dict[str, ServiceSpec]) -> dict[tuple[str, str], Policy]:
        policies = {}
        for (group, service), section in self._of_kind(KIND_POLICY):
            policies[(group, service)] = self._policy(section)
        return policies


def join_files(files: Iterable[OperatorsFile], revision: int) -> InForce:
    """Return the joined view; raise `InvalidIniError` when files contradict each other."""
    joiner = Joiner()
    ordered = sorted(files, key=lambda file: file.name)
    for file in ordered:
        joiner.add(file)
    for file in ordered:
        joiner.check_references(file)
    if joiner.errors:
        raise InvalidIniError(joiner.errors)
    return joiner.view(revision)


class Joiner:
    """Join files and note where they contradict each other."""

    def __init__(self) -> None:
        self.joined = InForce(0, {}, {}, {}, {})
        self.errors: list[IniError] = []
        self._place_by_address: dict[str, str] = {}

    def add(self, file: OperatorsFile) -> None:
        """Add one file's declarations."""
        for group in file.group_by_name.values():
            self._add_group(file, group)
        for service in file.service_by_name.values():
            self._add_service(file, service)
        for (group_name, service_name), policy in file.policy_by_group_and_service.items():
            self._add_policy(file, group_name, service_name, policy)

    def remove(self, file: OperatorsFile) -> None:
        """Take one file's declarations out; what another file also declares stays its own."""
        joined = self.joined
        for name, group in file.group_by_name.items():
            if joined.group_by_name.get(name) is group:
                del joined.group_by_name[name]
            if joined.group_by_key_digest.get(group.key_digest) is group:
                del joined.group_by_key_digest[group.key_digest]
        for name, service in file.service_by_name.items():
            if joined.service_by_name.get(name) is service:
                del joined.service_by_name[name]
            for targets in service.targets_by_instance:
                for target in targets:
                    self._place_by_address.pop(target.address, None)
        for key, policy in file.policy_by_group_and_service.items():
            if joined.policy_by_group_and_service.get(key) is policy:
                del joined.policy_by_group_and_service[key]

    def view(self, revision: int) -> InForce:
        """Return the joined view as it is now; later changes leave it as it is."""
        joined = self.joined
        return InForce(
            revision,
            dict(joined.group_by_name),
            dict(joined.group_by_key_digest),
            dict(joined.service_by_name),
            dict(joined.policy_by_group_and_service),
        )

    def check_references(self, file: OperatorsFile) -> None:
        """Note names in a file that no file declares."""
        for group in file.group_by_name.values():
            section = f"{KIND_GROUP} {group.name}"
            for service in group.services:
                self._check_declared(file, section, KIND_SERVICE, service)
        for group_name, service_name in file.policy_by_group_and_service:
            section = f"{KIND_POLICY} {group_name} {service_name}"
            self._check_declared(file, section, KIND_GROUP, group_name)
            self._check_declared(file, section, KIND_SERVICE, service_name)

    def _add_group(self, file: OperatorsFile, group: GroupSpec) -> None:
        section = f"{KIND_GROUP} {group.name}"
        if group.name in self.joined.group_by_name:
            self._fail(file, section, "another file declares this group", "Rename one of them")
        if group.key_digest in self.joined.group_by_key_digest:
            self._fail(file, section, "another group has the same key", "Give each its own key")
        self.joined.group_by_name[group.name] = group
        self.joined.group_by_key_digest[group.key_digest] = group

    def _add_service(self, file: OperatorsFile, service: ServiceSpec) -> None:
        section = f"{KIND_TARGETS} {service.name}"
        if service.name in self.joined.service_by_name:
            self._fail(file, section, "another file declares this service", "Rename one of them")
        self.joined.service_by_name[service.name] = service
        place = f"{file.name} [{section}]"
        for targets in service.targets_by_instance:
            for target in targets:
                first = self._place_by_address.get(target.address)
                if first is not None:
                    detail = f"{target.address} stands twice, first in {first}"
                    self._fail(file, section, detail, "Name each target once")
                self._place_by_address[target.address] = place

    def _add_policy(
        self, file: OperatorsFile, group_name: str, service_name: str, policy: Policy
    ) -> None:
        policies = self.joined.policy_by_group_and_service
        if (group_name, service_name) in policies:
            section = f"{KIND_POLICY} {group_name} {service_name}"
            self._fail(file, section, "another file declares this policy", "Keep one of them")
        policies[group_name, service_name] = policy

    def _check_declared(self, file: OperatorsFile, section: str, kind: str, name: str) -> None:
        joined = self.joined
        names = joined.group_by_name if kind == KIND_GROUP else joined.service_by_name
        if name not in names:
            self._fail(file, section, f"{kind} `{name}` is not declared", "Declare it")

    def _fail(self, file: OperatorsFile, section: str, detail: str, remedy: str) -> None:
        self.errors.append(IniError(file.name, section, "", detail, remedy))
