from __future__ import annotations

from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.waves.losses import LOSS_WINDOW_MS
from guavapin.waves.losses import LossHistory
from guavapin.waves.losses import is_mass_loss
from guavapin.waves.losses import update_losses

HOSTS = [f"h{index}" for index in range(8)]
STATE = FleetState(placements=dict.fromkeys(HOSTS, "a"))


def history_after(
    *steps: tuple[int, set[str]], state: FleetState = STATE
) -> LossHistory:
    history = update_losses(LossHistory(), state, frozenset(HOSTS), 0)
    for now_ms, gone in steps:
        history = update_losses(history, state, frozenset(set(HOSTS) - gone), now_ms)
    return history


def test_losses_close_together_are_one_event() -> None:
    history = history_after((1_000, {"h0"}), (20_000, {"h0", "h1"}))
    assert is_mass_loss(history, len(HOSTS))


def test_losses_far_apart_are_not() -> None:
    history = history_after((1_000, {"h0"}), (LOSS_WINDOW_MS + 2_000, {"h0", "h1"}))
    assert not is_mass_loss(history, len(HOSTS))


def test_hosts_in_maintenance_are_not_lost() -> None:
    item = Disruption("h0", "a", DisruptionKind.WAVE, HostPhase.REBOOTING, "x", 0)
    state = FleetState(STATE.fence, 1, STATE.placements, {"h0": item, "h1": item})
    history = history_after((1_000, {"h0", "h1"}), state=state)
    assert not is_mass_loss(history, len(HOSTS))


def test_host_that_returns_at_once_is_not_lost() -> None:
    history = history_after((1_000, {"h0"}), (2_000, set()), (3_000, {"h1"}))
    assert not is_mass_loss(history, len(HOSTS))


def test_first_list_after_a_takeover_is_no_loss() -> None:
    history = update_losses(LossHistory(), STATE, frozenset({"h0"}), 0)
    assert not is_mass_loss(history, len(HOSTS))


def test_loss_of_one_rack_of_four_is_detected_at_any_size() -> None:
    history = history_after((1_000, {"h0", "h1", "h2", "h3"}))
    for hosts in (30, 300, 1_100):
        assert is_mass_loss(history, hosts)
