"""What all links to peers share: where an address can't be reached, the link is broken, whatever is wrong with it."""

from __future__ import annotations

import pytest

from flintshift.core.limits import Limits
from flintshift.wire.link import CONNECTION_ERRORS, connect

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("host", ["\u00e9" * 80, "x" * 70, "a..b", "x y", "\x00"])
async def test_a_host_that_is_no_name_is_a_broken_link_and_no_fault(host):
    with pytest.raises(CONNECTION_ERRORS):
        await connect((host, 1), Limits())
