"""Operators' files for demonstrations, measurements and tests."""

import hashlib
from collections.abc import Iterator
from typing import NamedTuple


class ServiceShape(NamedTuple):
    """Say how large a service is and under which deadlines it lives."""

    name: str
    instances: int
    targets_each: int
    slots: int = 2
    connections: int = 25
    new_connection: str = "6ms"
    deadline: str = "500ms"
    wait: str = "500ms"
    least_coverage: str = "1"
    extra_load: str = "0.05"
    objective: str = "0.99"


class GroupShape(NamedTuple):
    """Say which share a group has and which services it may use."""

    name: str
    share: str
    services: str


def demo_key(group: str) -> str:
    """Return a group's key, which is good for demonstrations only."""
    return f"{group}-key"


def render_file(
    name: str,
    groups: list[GroupShape],
    services: list[ServiceShape],
    ports: Iterator[int],
    regions: tuple[str, ...] = ("here",),
    policies: str = "",
    comment: str = "",
) -> str:
    """Return an operators' file whose targets stand on loopback, an instance to a region."""
    lines = [f"# {comment}"] if comment else []
    lines += ["[file]", f"name = {name}", ""]
    for group in groups:
        digest = hashlib.sha256(demo_key(group.name).encode()).hexdigest()
        lines += [
            f"[group {group.name}]",
            f"# The SHA-256 of `{demo_key(group.name)}`, a key for demonstrations only.",
            f"key_sha256 = {digest}",
            f"share = {group.share}",
            f"services = {group.services}",
            "",
        ]
    for service in services:
        lines += _service(service, ports, regions)
    lines.append(policies.rstrip())
    return "\n".join(lines).rstrip() + "\n"


def _service(service: ServiceShape, ports: Iterator[int], regions: tuple[str, ...]) -> list[str]:
    lines = [f"[service {service.name}]"]
    keys = service._asdict().keys() - {"name", "instances", "targets_each"}
    lines += [f"{key} = {getattr(service, key)}" for key in service._fields if key in keys]
    lines += ["", f"[targets {service.name}]"]
    for instance in range(service.instances):
        region = regions[instance % len(regions)]
        words = [
            f"{region}/{region}-{'ab'[replica % 2]}/127.0.0.1:{next(ports)}"
            for replica in range(service.targets_each)
        ]
        lines.append(f"{instance} = {', '.join(words)}")
    return [*lines, ""]
