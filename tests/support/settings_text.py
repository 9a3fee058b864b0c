"""The settings files of the controllers of a simulated cluster."""

from __future__ import annotations

from tests.conftest import SETTINGS

MEMBERS = ("c0", "c1")


def settings_text(member: str, members: tuple[str, ...], text: str = SETTINGS) -> str:
    """Returns the settings of one controller; its siblings are the other members."""
    head, _, rest = text.partition("[[siblings]]")
    _, _, tail = rest.partition("[outside]")
    siblings = "".join(
        f'[[siblings]]\nmember = "{other}"\nzone = "a"\naddress = "127.0.0.1:{8082 + number}"\n'
        for number, other in enumerate(each for each in members if each != member)
    )
    whole = head.replace('member = "c0"', f'member = "{member}"') + siblings + "[outside]" + tail
    return whole.replace("count = 2", f"count = {len(members)}")
