"""trackwheel: share one pool of search capacity fairly among many groups.

Usage:
  trackwheel serve SETTINGS
  trackwheel entry [SETTINGS]
  trackwheel check FILE... [--json]
  trackwheel apply FILE [--box=ADDRESS] [--by=NAME] [--expect=VERSION] [--json] [options]
  trackwheel show [NAME] [--box=ADDRESS] [--json] [options]
  trackwheel query SERVICE [TEXT] --key-file=PATH [--callers=ADDRESS] [--json] [options]
  trackwheel explain ID FILE... [--json]
  trackwheel explain ID [--box=ADDRESS] [--json] [options]
  trackwheel report FILE... [--html=PATH] [--json]
  trackwheel burn [--box=ADDRESS]... [--html=PATH] [--json] [options]
  trackwheel (-h | --help)
  trackwheel --version

Commands:
  serve    Run one box with its settings, until it is told to stop (SIGTERM).
  entry    Run one box on the platform; without SETTINGS, its file is the one that the
           environment variable TRACKWHEEL_CONFIG names.
  check    Read operators' files and list every mistake; puts nothing in force.
  apply    Put one operators' file in force, as a whole, and wait for the boxes.
  show     Show what is in force, where and since when; with NAME, that file's text.
  query    Ask a service as a group; the group's key is read from a file.
  explain  Show the steps of one query at the box that answered it, or, with log files of
           boxes on the platform, what they wrote of one request and why it ended so.
  report   Say from the log files of a fleet's boxes on the platform who waited, who was refused
           and where work went.
  burn     Report how fast groups use up their error budgets at services.

Options:
  --box=ADDRESS      Operators' address of a box [default: 127.0.0.1:8300].
  --callers=ADDRESS  Callers' address of a box [default: 127.0.0.1:8100].
  --key-file=PATH    File with the group's key, `-` for standard input.
  --by=NAME          Who applies the file [default: operator].
  --expect=VERSION   Refuse unless the file in force has this version.
  --html=PATH        Write the report as a page as well.
  --json             Print JSON.
  --authority=PATH   Speak TLS and trust this authority.
  --certificate=PATH  Show this certificate to the box, with its key.
  --private-key=PATH  The key of --certificate.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
"""

import os
import ssl
import sys
from pathlib import Path
from typing import Any, Final

import httpx
import msgspec
from docopt import DocoptExit, docopt

from trackwheel import VERSION
from trackwheel.errors import CommandError
from trackwheel.files.parse import join_files, parse_file
from trackwheel.ini import InvalidIniError
from trackwheel.log_commands import explain_logs, report_logs
from trackwheel.telemetry.burn import merge_rows
from trackwheel.telemetry.burn_page import render_page
from trackwheel.telemetry.models import BurnRow

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
CALL_TIMEOUT_S: Final = 20.0

Arguments = dict[str, Any]


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    argv = sys.argv[1:] if argv is None else argv
    try:
        arguments = docopt(__doc__ or "", argv, version=f"trackwheel {VERSION}")
    except DocoptExit as usage:
        print(usage, file=sys.stderr)
        return EXIT_USAGE
    command = next(name for name in COMMANDS if arguments[name])
    try:
        return COMMANDS[command](arguments)
    except InvalidIniError as errors:
        for error in errors.errors:
            print(error.sentence(), file=sys.stderr)
        return EXIT_FAILED
    except (CommandError, OSError) as error:
        print(f"trackwheel {command}: {error}", file=sys.stderr)
        return EXIT_FAILED


def _serve(arguments: Arguments) -> int:
    # The parts of a box are imported only where a box runs, so that other commands start fast.
    from trackwheel.app import run  # noqa: PLC0415
    from trackwheel.settings import load_settings  # noqa: PLC0415
    from trackwheel.telemetry.logs import set_up_logs  # noqa: PLC0415

    settings = load_settings(Path(arguments["SETTINGS"]))
    set_up_logs(settings.log_format, settings.log_level)
    run(settings)
    return EXIT_DONE


def _entry(arguments: Arguments) -> int:
    from trackwheel.clock import steady_now  # noqa: PLC0415
    from trackwheel.entry.run import run_entry  # noqa: PLC0415
    from trackwheel.platform.settings import SETTINGS_VARIABLE  # noqa: PLC0415

    path = arguments["SETTINGS"] or os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        raise CommandError(f"no settings; name a file or set {SETTINGS_VARIABLE}")
    run_entry(Path(path), steady_now())
    return EXIT_DONE


def _check(arguments: Arguments) -> int:
    files = []
    sentences: list[str] = []
    for path in arguments["FILE"]:
        try:
            files.append(parse_file(path, Path(path).read_bytes()))
        except InvalidIniError as errors:
            sentences += [error.sentence() for error in errors.errors]
    if not sentences:
        try:
            join_files(files, 0)
        except InvalidIniError as errors:
            sentences += [error.sentence() for error in errors.errors]
    if arguments["--json"]:
        _print_json({"ok": not sentences, "errors": sentences})
    else:
        for sentence in sentences:
            print(sentence, file=sys.stderr)
        if not sentences:
            print(f"{len(files)} file(s) are sound.")
    return EXIT_FAILED if sentences else EXIT_DONE


def _apply(arguments: Arguments) -> int:
    path = arguments["FILE"][0]
    content = Path(path).read_bytes()
    parse_file(path, content)
    headers = {"Trackwheel-Applied-By": arguments["--by"]}
    if arguments["--expect"] is not None:
        headers["Trackwheel-Expected-Version"] = arguments["--expect"]
    report = _call(
        arguments, "POST", _box(arguments), "/v1/apply", content=content, headers=headers
    )
    accepted = report.get("outcome") in ("accepted", "unchanged")
    if arguments["--json"]:
        _print_json(report)
    else:
        _print_apply(report)
    missing = report.get("not_confirmed")
    return EXIT_DONE if accepted and not missing else EXIT_FAILED


def _print_apply(report: dict[str, Any]) -> None:
    outcome = report.get("outcome", "failed")
    if outcome in ("accepted", "unchanged"):
        boxes = report["boxes"] - len(report["not_confirmed"])
        print(
            f"{report['name']}: {outcome}, revision {report['revision']}, "
            f"in force on {boxes} of {report['boxes']} boxes."
        )
        for address in report["not_confirmed"]:
            print(f"  not confirmed: {address}")
        return
    print(f"{report.get('name', 'file')}: {outcome}.", file=sys.stderr)
    for error in report.get("errors", []):
        print(f"  {error}", file=sys.stderr)
    winner = report.get("in_force_instead")
    if winner:
        print(
            f"  in force instead: version {winner['version']} by {winner['applied_by']} "
            f"at {winner['applied_at']}",
            file=sys.stderr,
        )
    if outcome == "uncertain":
        print("  The store did not answer. Use `trackwheel show` later.", file=sys.stderr)


def _show(arguments: Arguments) -> int:
    if arguments["NAME"]:
        response = _request(arguments, "GET", _box(arguments), f"/v1/files/{arguments['NAME']}")
        if response.status_code != httpx.codes.OK:
            raise CommandError("no file of this name is in force")
        print(response.text, end="")
        return EXIT_DONE
    state = _call(arguments, "GET", _box(arguments), "/v1/show")
    if arguments["--json"]:
        _print_json(state)
        return EXIT_DONE
    print(f"revision {state['revision']} at box {state['box']}")
    for name, entry in sorted(state["files"].items()):
        print(
            f"  file {name}: version {entry['version']} by {entry['applied_by']} "
            f"at {entry['applied_at']}"
        )
    for box in state["boxes"]:
        revision = "no answer" if box["revision"] is None else f"revision {box['revision']}"
        print(f"  box {box['id']} ({box['failure_domain']}): {box['status']}, {revision}")
    return EXIT_DONE


def _query(arguments: Arguments) -> int:
    key_file = arguments["--key-file"]
    key = (sys.stdin.read() if key_file == "-" else Path(key_file).read_text()).strip()
    body = {"service": arguments["SERVICE"], "query": arguments["TEXT"] or ""}
    headers = {"Authorization": f"Bearer {key}"}
    answer = _call(
        arguments, "POST", arguments["--callers"], "/v1/query", json=body, headers=headers
    )
    if arguments["--json"]:
        _print_json(answer)
    else:
        _print_answer(answer)
    return EXIT_FAILED if "error" in answer else EXIT_DONE


def _print_answer(answer: dict[str, Any]) -> None:
    if "error" in answer:
        error = answer["error"]
        print(f"{error['code']}: {error['detail']}. {error['remedy']}.", file=sys.stderr)
        if "retry_after_ms" in answer:
            print(f"  come back in {answer['retry_after_ms']} ms", file=sys.stderr)
        return
    total = len(answer["covered"]) + len(answer["lacking"])
    state = "whole" if answer["whole"] else "partial"
    print(f"query {answer['id']}: {state} at version {answer['version']}")
    print(f"  covered {len(answer['covered'])} of {total} shards: {answer['covered']}")
    lacking = [f"{lack['shard']} ({lack['reason']})" for lack in answer["lacking"]]
    print(f"  lacking: {', '.join(lacking) or 'none'}")
    count = sum(len(shard["items"]) for shard in answer["items"])
    print(f"  {count} items")


def _explain(arguments: Arguments) -> int:
    if arguments["FILE"]:
        return explain_logs(arguments)
    report = _call(arguments, "GET", _box(arguments), f"/v1/explain/{arguments['ID']}")
    if arguments["--json"]:
        _print_json(report)
    elif "steps" in report:
        print(
            f"query {report['id']} of group {report['group']} at service {report['service']}: "
            f"{report['outcome']} after {report['took_ms']} ms at box {report['box']}"
        )
        for step in report["steps"]:
            print(
                f"  {step['at_ms']:9.2f} ms  {step['what']:<8} instance {step['instance']:>3}  "
                f"{step['target']:<21} owner {step['owner']:<21} {step['detail']}"
            )
    else:
        print("\n".join(report["errors"]), file=sys.stderr)
    return EXIT_DONE if "steps" in report else EXIT_FAILED


def _burn(arguments: Arguments) -> int:
    rows: list[BurnRow] = []
    for box in arguments["--box"]:
        report = _call(arguments, "GET", box, "/v1/burn")
        rows += msgspec.convert([list(row.values()) for row in report["rows"]], list[BurnRow])
    merged = merge_rows(rows)
    if arguments["--html"]:
        Path(arguments["--html"]).write_text(render_page(merged), encoding="utf-8")
    if arguments["--json"]:
        _print_json([row._asdict() for row in merged])
        return EXIT_DONE
    print("group            service          queries   fast   slow  left   p99 ms  causes")
    for row in merged:
        causes = ", ".join(f"{cause} {count}" for cause, count in row.bad_by_cause.items())
        print(
            f"{row.group:<16} {row.service:<16} {row.total:>7} {row.fast_rate:>6.2f} "
            f"{row.slow_rate:>6.2f} {row.budget_left:>5.0%} {row.p99_ms:>8.1f}  {causes}"
        )
    return EXIT_DONE


def _box(arguments: Arguments) -> str:
    """Return the one box that a command speaks to; `--box` is a list as `burn` takes several."""
    return str(arguments["--box"][0])


def _verify(arguments: Arguments) -> ssl.SSLContext | None:
    """Return how to check a box and show oneself, None where TLS was not asked for."""
    if arguments["--authority"] is None:
        return None
    context = ssl.create_default_context(cafile=arguments["--authority"])
    if arguments["--certificate"] is not None:
        context.load_cert_chain(arguments["--certificate"], arguments["--private-key"])
    return context


def _request(
    arguments: Arguments, method: str, address: str, path: str, **options: Any
) -> httpx.Response:
    verify = _verify(arguments)
    scheme = "http" if verify is None else "https"
    try:
        with httpx.Client(timeout=CALL_TIMEOUT_S, trust_env=False, verify=verify or True) as client:
            return client.request(method, f"{scheme}://{address}{path}", **options)
    except httpx.HTTPError as error:
        raise CommandError(f"{address} does not answer: {error!r}") from error


def _call(
    arguments: Arguments, method: str, address: str, path: str, **options: Any
) -> dict[str, Any]:
    response = _request(arguments, method, address, path, **options)
    try:
        return msgspec.json.decode(response.content, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise CommandError(f"{address} answered with status {response.status_code}") from error


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


COMMANDS: Final = {
    "serve": _serve,
    "entry": _entry,
    "check": _check,
    "apply": _apply,
    "show": _show,
    "query": _query,
    "explain": _explain,
    "report": report_logs,
    "burn": _burn,
}

if __name__ == "__main__":
    raise SystemExit(main())
