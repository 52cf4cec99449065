"""The configuration of a scale run: files, overrides, and errors that name the key."""

from pathlib import Path

import pytest

from scale import config

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[fleet]\nservers = 0", "fleet.servers"),
        ("[fleet]\nservers = 38001", "fleet.servers"),
        ("[flet]\nservers = 5", "flet"),
        ("[load]\nrate = 'x'", "load.rate"),
        ("[[faults]]\nat_s = 1.0\nkind = 'flood'", "faults[0].kind"),
        ("[[faults]]\nkind = 'silent'", "at_s"),
        ("[[faults]]\nat_s = 1.0\nkind = 'lose_zone'\nzone = 'zz'", "faults[0].zone"),
        ("[slopes]\nlists = []", "slopes.lists"),
        ("processes = 201", "processes"),
        ("seed = ", "wrong.toml"),
    ],
)
def test_invalid_file_is_rejected_with_the_name_of_the_key(tmp_path, text, key):
    path = tmp_path / "wrong.toml"
    path.write_text(text)
    with pytest.raises(config.ConfigError, match=key.replace("[", r"\[").replace("]", r"\]")):
        config.load(path)


def test_flags_override_the_file(tmp_path):
    path = tmp_path / "some.toml"
    path.write_text("seed = 3\n[fleet]\nservers = 10\nhollow = 5")
    loaded = config.load(path, ("fleet.servers=20", "load.rate=2.5"))
    assert (loaded.seed, loaded.fleet.servers, loaded.fleet.hollow, loaded.load.rate) == (3, 20, 5, 2.5)
    assert config.load(ROOT / "scale" / "small.toml").deadline_s < 120.0
    with pytest.raises(config.ConfigError, match=r"fleet\.srvers|srvers"):
        config.load(path, ("fleet.srvers=20",))
