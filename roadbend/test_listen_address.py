"""An address that can't be listened on ends the process with one line that names the setting."""

import gc
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from roadbend.cli import main
from roadbend.test_settings import PLATFORM

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30


@pytest.fixture
def used_address():
    """Listen on a local address and return it."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.fixture
def collector():
    """Restore the settings of the garbage collector, which starting a controller changes."""
    threshold = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*threshold)
    gc.enable()


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def write_settings(folder: Path, client_listen: str, back: str) -> Path:
    """Write settings that are valid except for these addresses; nothing listens at the others."""
    text = PLATFORM
    for former, address in {
        "10.0.0.1:8080": client_listen,
        "10.0.0.1:8081": back,
        "10.0.0.2:8081": "127.0.0.1:1",
        "10.2.0.2:8443": "127.0.0.1:1",
        "10.2.0.1:2379": "127.0.0.1:1",
    }.items():
        assert former in text
        text = text.replace(former, address)
    path = folder / "node.toml"
    path.write_text(text)
    return path


def expected_error(key: str, address: str, reason: str) -> str:
    return f"roadbend: bad value for {key}: can't listen on '{address}': {reason}\n"


def run_controller(path: Path) -> subprocess.Popen:
    environment = {k: v for k, v in os.environ.items() if k != "LOG_LEVEL"}
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    return subprocess.Popen(
        [sys.executable, str(ROOT / "run.py"), "--config", str(path)],
        env=environment,
        cwd=path.parent,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("key", ["client_listen", "back"])
def test_an_address_that_is_taken_is_named_by_its_setting(
    key, used_address, tmp_path, capsys, collector
):
    addresses = {"client_listen": free_address(), "back": free_address(), key: used_address}
    assert main(["--config", str(write_settings(tmp_path, **addresses))]) == 2
    captured = capsys.readouterr()
    assert (captured.out, captured.err) == (
        "",
        expected_error(key, used_address, "Address already in use"),
    )


def test_of_two_settings_with_one_address_the_second_is_named(tmp_path, capsys, collector):
    address = free_address()
    assert main(["--config", str(write_settings(tmp_path, address, address))]) == 2
    assert capsys.readouterr().err == expected_error("back", address, "Address already in use")


@pytest.mark.parametrize("key", ["client_listen", "back"])
@pytest.mark.parametrize(
    "address",
    [
        "no-such-host.invalid:8080",
        "256.1.1.1:8080",
        "[::1]:8080",
        "192.0.2.1:8080",
        "a..b:8080",
        "a\\u0000b:8080",
        "two\\nlines:8080",
    ],
)
def test_an_address_that_is_none_of_ours_is_named_by_its_setting(
    key, address, tmp_path, capsys, collector
):
    addresses = {"client_listen": free_address(), "back": free_address(), key: address}
    assert main(["--config", str(write_settings(tmp_path, **addresses))]) == 2
    captured = capsys.readouterr()
    assert captured.out == "" and captured.err.count("\n") == 1
    assert captured.err.startswith(f"roadbend: bad value for {key}: can't listen on ")


@pytest.mark.parametrize("key", ["client_listen", "back"])
@pytest.mark.parametrize(
    "address", ["nowhere", "127.0.0.1:", ":80", "127.0.0.1:\u00b2", "127.0.0.1:" + "9" * 5000]
)
def test_an_address_that_cannot_be_parsed_is_named_by_its_setting(key, address, tmp_path, capsys):
    addresses = {"client_listen": free_address(), "back": free_address(), key: address}
    assert main(["--config", str(write_settings(tmp_path, **addresses))]) == 2
    assert capsys.readouterr().err == f"roadbend: bad value for {key}: expected host:port\n"


@pytest.mark.parametrize("key", ["client_listen", "back"])
def test_a_process_ends_with_one_line_and_status_two(key, used_address, tmp_path):
    addresses = {"client_listen": free_address(), "back": free_address(), key: used_address}
    process = run_controller(write_settings(tmp_path, **addresses))
    output, errors = process.communicate(timeout=START_TIMEOUT_S)
    expected = expected_error(key, used_address, "Address already in use")
    assert (process.returncode, output, errors) == (2, "", expected)


def test_a_process_whose_addresses_are_free_listens_on_both(tmp_path):
    addresses = [free_address(), free_address()]
    process = run_controller(write_settings(tmp_path, *addresses))
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        for address in addresses:
            host, _, port = address.rpartition(":")
            while True:
                assert process.poll() is None and time.monotonic() < deadline
                try:
                    socket.create_connection((host, int(port)), timeout=1).close()
                    break
                except OSError:
                    time.sleep(0.05)
    finally:
        process.kill()
        process.communicate()
    assert process.returncode == -signal.SIGKILL
