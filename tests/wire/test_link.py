"""Connecting to a peer: any address that can't be reached, even an invalid one, raises a connection error."""

from __future__ import annotations

import pytest

from flintshift.core.limits import Limits
from flintshift.wire.link import CONNECTION_ERRORS, connect

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("host", ["\u00e9" * 80, "x" * 70, "a..b", "x y", "\x00"])
async def test_an_invalid_host_name_is_a_connection_error(host):
    with pytest.raises(CONNECTION_ERRORS):
        await connect((host, 1), Limits())
