"""Settings: errors name the bad key; unknown keys of the platform's file are ignored."""

from datetime import timedelta

import pytest

from roadbend.cli import main
from roadbend.settings import SettingsError, read_operator, read_platform

PLATFORM = """
host_name = "hitch-0"
domain = "east"
client_listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"
novelty = 3
[[others]]
host_name = "hitch-1"
domain = "west"
address = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 2
zones = ["east", "west"]
clock_off_ms = 25.0
[[deployment.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 4.0
gpus_max = 12.0
[[deployment.objectives]]
kind = "wait"
class = "match"
within_s = 10.0
share = 0.85
[[deployment.objectives]]
kind = "something new"
[deployment.workers]
report_s = 2.5
lease_s = 18
cancel_s = 38.0
[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = 4.0
list_lag_s = 8.0
[deployment.machine_limits]
cpu = 0.25
sockets = 1800
"""


def test_the_platforms_file_is_read_and_what_is_new_in_it_ignored():
    settings = read_platform(PLATFORM)
    assert (
        settings.lease == timedelta(seconds=18)
        and settings.controller_count == 2
        and settings.cpu == 0.25
    )
    assert settings.teams["red"].gpus_max == 12 and settings.objectives[0].within == timedelta(
        seconds=10
    )


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('host_name = "hitch-0"', "", "host_name"),
        ("lease_s = 18", 'lease_s = "x"', "deployment.workers.lease_s"),
        ("rps = 250.0", "rps = -1.0", "deployment.state.rps"),
        ('state = "10.2.0.1:2379"', 'state = "nowhere"', "outside.state"),
        ("report_s = 2.5", "report_s = true", "deployment.workers.report_s"),
        ("[outside]", "[outside", "not TOML"),
    ],
)
def test_a_bad_platform_file_is_refused_by_the_keys_name(old, new, named):
    with pytest.raises(SettingsError, match=named):
        read_platform(PLATFORM.replace(old, new, 1))


def test_operators_settings_are_s_expressions():
    assert read_operator(
        "(roadbend (omega 0.5) (own-lease 9) (error-limit 5))"
    ).own_lease == timedelta(seconds=9)
    assert read_operator("(roadbend)").omega == 1.0


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("(roadbend (omegga 1))", "unknown key: omegga"),
        ("(roadbend (omega 2))", "omega: must be from 0 to 1"),
        ("(roadbend (omega x))", "omega"),
        ("(roadbend (omega 1) (omega 1))", "key given twice: omega"),
        ("(roadbend (error-limit 2.5))", "error-limit"),
        ("(roadbend (bid-wait 1000))", "bid-wait"),
        ("(roadbend omega)", "expected"),
        ("(other)", "must have the form"),
        ("(roadbend", "not an S-expression"),
    ],
)
def test_bad_operators_settings_are_refused_by_name(text, named):
    with pytest.raises(SettingsError, match=named):
        read_operator(text)


def test_the_check_says_one_line_and_ends_with_two(tmp_path, capsys):
    config, operator = tmp_path / "a.toml", tmp_path / "b.sexp"
    config.write_text(PLATFORM)
    assert main(["--config", str(config), "--operator", str(operator), "--check"]) == 0
    operator.write_text("(roadbend (speed 3))")
    assert main(["--config", str(config), "--operator", str(operator), "--check"]) == 2
    assert capsys.readouterr().err == "roadbend: unknown key: speed\n"
    assert main(["--config", str(tmp_path / "none"), "--operator", str(operator)]) == 2


def test_the_build_compiles_without_settings_and_a_start_needs_them(capsys):
    assert main(["--compile"]) == 0
    with pytest.raises(SystemExit) as ended:
        main([])
    assert ended.value.code == 2
    assert "--config" in capsys.readouterr().err
