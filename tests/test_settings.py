"""Tests of the settings of a daemon."""

import unittest

from gypsumwalk.errors import SettingsInvalid
from gypsumwalk.settings import decode_settings

VALID = """
name = "seoul-1"
data_centre = "seoul"
caller_port = 7001
peer_port = 7002
cluster_secret = "0123456789abcdef"
"""


class TestSettings(unittest.TestCase):
    def test_valid_settings(self):
        settings = decode_settings(VALID, file="a.toml")
        assert settings.name == "seoul-1"
        assert settings.voters == []

    def test_every_invalid_setting_is_reported_at_once(self):
        text = VALID.replace("7002", "7001").replace("0123456789abcdef", "short")
        with self.assertRaises(SettingsInvalid) as caught:
            decode_settings(text, file="a.toml")
        assert [str(error) for error in caught.exception.exceptions] == [
            "a.toml: cluster_secret: expected at least 16 characters, "
            "found '5 characters'",
            "a.toml: peer_port: expected a port other than caller_port, found 7001",
        ]

    def test_wrong_type_names_key_expected_and_found(self):
        text = VALID.replace("7001", '"seven"')
        with self.assertRaises(SettingsInvalid) as caught:
            decode_settings(text, file="a.toml")
        (error,) = caught.exception.exceptions
        assert str(error) == "a.toml: caller_port: expected int, found str"

    def test_voter_needs_a_data_folder(self):
        peer = (
            '[[peers]]\nname = "seoul-1"\ndata_centre = "seoul"\n'
            'address = "127.0.0.1"\npeer_port = 7002\nvoter = true\n'
        )
        with self.assertRaises(SettingsInvalid) as caught:
            decode_settings(VALID + peer, file="a.toml")
        (error,) = caught.exception.exceptions
        assert error.key == "data_folder"


if __name__ == "__main__":
    unittest.main()
