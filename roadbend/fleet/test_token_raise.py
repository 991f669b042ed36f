"""Which token a machine may be sent on behalf of an unreachable leader."""

import pytest

from roadbend.fleet.token_raise import next_token

TERM = 7
LOWEST, HIGHEST = TERM << 16, TERM << 16 | 0xFFFF


@pytest.mark.parametrize(
    "token, expected",
    [(LOWEST, LOWEST + 1), (LOWEST + 41, LOWEST + 42), (HIGHEST - 2, HIGHEST - 1)],
)
def test_the_next_token_is_of_the_same_term(token, expected):
    assert next_token(token, TERM) == expected


@pytest.mark.parametrize(
    "token",
    [0, LOWEST - 1, HIGHEST - 1, HIGHEST, HIGHEST + 1],
    ids=["none", "former-term", "last", "beyond", "next-term"],
)
def test_no_token_is_raised_into_another_term(token):
    """Guards against a token as high as those of a newer leader."""
    assert next_token(token, TERM) is None
