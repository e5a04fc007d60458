"""Decisions on prompts that crash replicas, replayed without hosts."""

from filbertyard.gateway.quarantine import INITIAL_REJECTION_S
from filbertyard.gateway.quarantine import MAX_REJECTION_S
from filbertyard.gateway.quarantine import MAX_REJECTIONS
from filbertyard.gateway.quarantine import MAX_SUSPECTS
from filbertyard.gateway.quarantine import SUSPICION_S
from filbertyard.gateway.quarantine import Quarantine

COMMON = "common"
SESSION = "session"
HARMFUL = "harmful"
PROMPT = (COMMON, SESSION, HARMFUL)


def probe_ends(quarantine: Quarantine, prompt: tuple[str, ...], replica: str) -> None:
    """Send a prompt as a probe and end its replica."""
    probed = quarantine.suspects(prompt, 1.0)
    quarantine.suspect(prompt, replica, 1.0)
    culprits = quarantine.culprits(probed, replica)
    if culprits:
        quarantine.reject_culprits(culprits, 1.0 + quarantine.rejection_s(culprits))


def test_the_second_replica_that_a_part_ends_is_the_last() -> None:
    quarantine = Quarantine()
    quarantine.suspect(PROMPT, "r1", 0.0)
    assert quarantine.find_rejection(PROMPT, 0.0) is None
    quarantine.clear([COMMON, SESSION])
    probe_ends(quarantine, PROMPT, "r2")
    assert quarantine.find_rejection(("other", HARMFUL), 2.0) is not None
    assert quarantine.find_rejection((COMMON, SESSION), 2.0) is None


def test_sound_prompts_that_share_the_other_parts_stay_free() -> None:
    """Guards against rejecting a caller's session with the part that crashes."""
    quarantine = Quarantine()
    quarantine.suspect(PROMPT, "r1", 0.0)
    quarantine.suspect((COMMON, "neighbour"), "r1", 0.0)
    quarantine.clear([COMMON])
    probe_ends(quarantine, PROMPT, "r2")
    # Session and harmful part were in the same requests only.
    assert quarantine.find_rejection(PROMPT, 2.0) is not None
    assert quarantine.find_rejection((COMMON, SESSION), 2.0) is None
    assert not quarantine.suspects(["neighbour"], 2.0)
    quarantine.clear([COMMON, SESSION])
    assert quarantine.find_rejection((COMMON, "third", HARMFUL), 2.0) is not None


def test_a_replica_that_ends_for_another_reason_rejects_nothing() -> None:
    """Guards against verdicts after a kill, a release or a loss of several replicas."""
    quarantine = Quarantine()
    for replica in ("r1", "r2", "r3"):
        quarantine.suspect((COMMON, SESSION), replica, 0.0)
    assert quarantine.find_rejection((COMMON, SESSION), 0.0) is None
    quarantine.clear([COMMON, SESSION])
    probe_ends(quarantine, (COMMON, SESSION), "r4")
    assert quarantine.find_rejection((COMMON, SESSION), 2.0) is None


def test_a_probe_beside_another_suspect_proves_nothing() -> None:
    """Guards against blaming a sound probe for what ran beside it."""
    quarantine = Quarantine()
    quarantine.suspect([HARMFUL], "r1", 0.0)
    quarantine.suspect([SESSION], "r1", 0.0)
    # A host that had not heard of the first end sent the harmful one beside the probe.
    quarantine.suspect([HARMFUL], "r2", 0.5)
    probe_ends(quarantine, (SESSION,), "r2")
    assert quarantine.find_rejection([SESSION], 2.0) is None
    probe_ends(quarantine, (HARMFUL,), "r3")
    assert quarantine.find_rejection([HARMFUL], 2.0) is not None
    assert not quarantine.suspects([SESSION], 2.0)


def test_late_reports_of_an_explained_end_make_no_suspects() -> None:
    quarantine = Quarantine()
    quarantine.suspect([HARMFUL], "r1", 0.0)
    probe_ends(quarantine, (HARMFUL,), "r2")
    quarantine.suspect([SESSION], "r2", 2.0)
    quarantine.suspect([COMMON, HARMFUL], "r3", 2.0)
    quarantine.suspect([SESSION], "r3", 2.0)
    assert not quarantine.suspects([COMMON, SESSION], 2.0)


def test_a_rejection_ends_and_its_part_is_probed_again() -> None:
    """Guards against a verdict that outlives its cause."""
    quarantine = Quarantine()
    quarantine.suspect([HARMFUL], "r1", 0.0)
    probe_ends(quarantine, (HARMFUL,), "r2")
    end = 1.0 + INITIAL_REJECTION_S
    assert quarantine.find_rejection([HARMFUL], end - 0.1) is not None
    quarantine.expire(end)
    assert quarantine.find_rejection([HARMFUL], end) is None
    assert quarantine.suspects([HARMFUL], end) == {HARMFUL}
    quarantine.clear([HARMFUL])
    assert not quarantine.suspects([HARMFUL], end)


def test_each_further_end_rejects_for_longer_up_to_a_limit() -> None:
    quarantine = Quarantine()
    quarantine.suspect([HARMFUL], "r0", 0.0)
    found = []
    for number in range(1, 8):
        quarantine.suspect([HARMFUL], f"r{number}", 0.0)
        found.append(quarantine.rejection_s([HARMFUL]))
    assert found == sorted(found)
    assert found[0] == INITIAL_REJECTION_S
    assert found[-1] == MAX_REJECTION_S


def test_a_rejection_read_from_the_store_needs_one_probe_to_be_renewed() -> None:
    quarantine = Quarantine()
    rejected = frozenset([HARMFUL])
    quarantine.reject(rejected, 60.0)
    quarantine.lift(rejected, 1.0)
    probe_ends(quarantine, (HARMFUL,), "r1")
    assert quarantine.find_rejection([HARMFUL], 2.0) is not None


def test_the_state_is_bounded_and_fades() -> None:
    quarantine = Quarantine()
    for number in range(3 * MAX_SUSPECTS):
        quarantine.suspect([f"p{number}"], f"r{number}", 0.0)
        quarantine.reject(frozenset([f"p{number}"]), 10.0)
    assert len(quarantine.suspicions) == MAX_SUSPECTS
    assert len(quarantine.rejections) == MAX_REJECTIONS
    quarantine.expire(11.0)
    quarantine.expire(12.0 + SUSPICION_S)
    assert not quarantine.suspicions
    assert not quarantine.rejections
