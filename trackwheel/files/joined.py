"""The join of all files in force, kept up to date file by file.

Joining everything anew on each change would cost a box in proportion to all targets.
"""

from collections.abc import Mapping
from typing import NamedTuple

from trackwheel.files.models import InForce, OperatorsFile
from trackwheel.files.parse import Joiner
from trackwheel.ini import InvalidIniError


class _Trial(NamedTuple):
    """Hold the files after a change that fits, and which ones went and came."""

    file_by_name: dict[str, OperatorsFile]
    gone: list[OperatorsFile]
    come: list[OperatorsFile]


class Joined:
    """Hold the joined view and replace single files in it, all or none."""

    def __init__(self) -> None:
        self._joiner = Joiner()
        self._file_by_name: dict[str, OperatorsFile] = {}

    def update(self, changed_by_name: Mapping[str, OperatorsFile | None], revision: int) -> InForce:
        """Return the view with some files changed or, where None, taken out.

        Raise `InvalidIniError` and keep the old view when files contradict each other.
        """
        trial = self._try(changed_by_name)
        self._file_by_name = trial.file_by_name
        return self._joiner.view(revision)

    def check(self, changed_by_name: Mapping[str, OperatorsFile | None]) -> None:
        """Raise `InvalidIniError` if files so changed would contradict each other.

        The view stays as it is. It costs what changed, not all files.
        """
        trial = self._try(changed_by_name)
        self._swap(trial.come, trial.gone)

    def _try(self, changed_by_name: Mapping[str, OperatorsFile | None]) -> _Trial:
        """Join changed files in place of those of their names; when they do not fit, undo it."""
        held = self._file_by_name
        gone = [held[name] for name in changed_by_name if name in held]
        come_by_name = {name: file for name, file in changed_by_name.items() if file is not None}
        come = list(come_by_name.values())
        file_by_name = {**held, **come_by_name}
        for name in changed_by_name.keys() - come_by_name.keys():
            file_by_name.pop(name, None)
        self._swap(gone, come)
        try:
            self._check(file_by_name, gone, come)
        except InvalidIniError:
            self._join_anew()
            raise
        return _Trial(file_by_name, gone, come)

    def _swap(self, gone: list[OperatorsFile], come: list[OperatorsFile]) -> None:
        for file in gone:
            self._joiner.remove(file)
        for file in come:
            self._joiner.add(file)

    def _join_anew(self) -> None:
        """Go back to the files that stood before; a contradiction may have covered some."""
        self._joiner = Joiner()
        for file in self._file_by_name.values():
            self._joiner.add(file)

    def _check(
        self,
        file_by_name: Mapping[str, OperatorsFile],
        gone: list[OperatorsFile],
        come: list[OperatorsFile],
    ) -> None:
        """Check names in the files that came, and in all when a name may be missing now."""
        names_gone = {name for file in gone for name in _declared(file)}
        names_come = {name for file in come for name in _declared(file)}
        everything = not names_gone <= names_come
        for file in file_by_name.values() if everything else come:
            self._joiner.check_references(file)
        if self._joiner.errors:
            raise InvalidIniError(self._joiner.errors)


def _declared(file: OperatorsFile) -> list[tuple[str, str]]:
    """Return what a file declares that other files may name."""
    groups = [("group", name) for name in file.group_by_name]
    return groups + [("service", name) for name in file.service_by_name]
