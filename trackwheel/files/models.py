"""What operators' files declare, and the manifest that says which of them are in force."""

from typing import NamedTuple


class Policy(NamedTuple):
    """Say how one group's queries to one service trade time against coverage (seconds)."""

    deadline_s: float
    wait_s: float
    least_coverage: float


class TargetSpec(NamedTuple):
    """Name one target and where it stands."""

    address: str
    region: str
    failure_domain: str


class ServiceSpec(NamedTuple):
    """Declare one service: its targets by instance, their claims, and its deadlines."""

    name: str
    slots: int
    connections: int
    new_connection_s: float
    extra_load: float
    objective: float
    policy: Policy
    targets_by_instance: tuple[tuple[TargetSpec, ...], ...]


class GroupSpec(NamedTuple):
    """Declare one group: the digest of its key, its share and the services it may query."""

    name: str
    key_sha256: str
    share: float
    services: tuple[str, ...]

    @property
    def key_digest(self) -> bytes:
        """Return the digest of its key, as `trackwheel.groups.keys` computes it."""
        return bytes.fromhex(self.key_sha256)


class OperatorsFile(NamedTuple):
    """Hold one checked file."""

    name: str
    group_by_name: dict[str, GroupSpec]
    service_by_name: dict[str, ServiceSpec]
    policy_by_group_and_service: dict[tuple[str, str], Policy]


class ManifestEntry(NamedTuple):
    """Say which content of one file is in force, and which apply led there."""

    version: int
    digest: str
    apply_id: str
    applied_by: str
    applied_at: str


class Manifest(NamedTuple):
    """List every file in force; the revision grows by one with every accepted apply.

    The ids of the latest applies, oldest first, tell an operator whose reply was lost that a
    write took effect, also when others have written since.
    """

    revision: int
    entry_by_name: dict[str, ManifestEntry]
    recent_apply_ids: tuple[str, ...]


EMPTY_MANIFEST = Manifest(0, {}, ())


class InForce(NamedTuple):
    """Join all files in force into the view that the other duties read."""

    revision: int
    group_by_name: dict[str, GroupSpec]
    group_by_key_digest: dict[bytes, GroupSpec]
    service_by_name: dict[str, ServiceSpec]
    policy_by_group_and_service: dict[tuple[str, str], Policy]

    def policy(self, group: str, service: ServiceSpec) -> Policy:
        """Return the policy for one group at one service."""
        return self.policy_by_group_and_service.get((group, service.name), service.policy)


NOTHING_IN_FORCE = InForce(0, {}, {}, {}, {})


class Push(NamedTuple):
    """Carry the entries and the apply ids that came after one revision up to another one."""

    base_revision: int
    revision: int
    digest: str
    entry_by_name: dict[str, ManifestEntry]
    apply_ids: tuple[str, ...]


class Pull(NamedTuple):
    """Ask a box for all entries that changed after a revision."""

    have_revision: int


class FetchContents(NamedTuple):
    """Ask a box for contents by digest."""

    digests: list[str]


class Contents(NamedTuple):
    """Carry contents by digest."""

    content_by_digest: dict[str, bytes]


class AskRevision(NamedTuple):
    """Ask a box which revision it has in force, to tell an operator."""

    exchange_id: str


class TellRevision(NamedTuple):
    """Say which revision is in force here."""

    exchange_id: str
    revision: int


FILES_MESSAGES = (Push, Pull, FetchContents, Contents, AskRevision, TellRevision)


class SendTo(NamedTuple):
    """Command: send a message to a box."""

    address: str
    message: Push | Pull | FetchContents | Contents


class PutInForce(NamedTuple):
    """Command: the joined files are another set now."""

    in_force: InForce


class ReadContents(NamedTuple):
    """Command: read contents from the platform's store."""

    digests: tuple[str, ...]


FilesCommand = SendTo | PutInForce | ReadContents
