"""Passes messages of other entry VMs to the parts of this one."""

from dataclasses import dataclass

from bluebellpitch.peers.messages import StrikeReport, StrikesCleared
from bluebellpitch.peers.platform_messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    CrashEvidenceRequest,
    CrashEvidenceUpdate,
    DutyAnnouncement,
    FreshnessReply,
    FreshnessRequest,
    RecordsRequest,
    RecordsUpdate,
    UsageUpdate,
    VmHeartbeat,
    ZoneDemand,
)
from bluebellpitch.peers.retry_messages import RetryLoan, RetryLoanRequest
from bluebellpitch.roles.crash_tracker import CrashTracker
from bluebellpitch.roles.duties.duties import Duties
from bluebellpitch.roles.generation_coordinator import GenerationCoordinator
from bluebellpitch.roles.peer_discovery import PeerDiscovery
from bluebellpitch.roles.peer_sync import PeerSync
from bluebellpitch.roles.shared_retry_budget import SharedRetryBudget
from bluebellpitch.roles.strike_replicator import StrikeReplicator


@dataclass(frozen=True, slots=True)
class MessageDispatcher:
    """The parts of a VM that receive messages."""

    peer_discovery: PeerDiscovery
    peer_sync: PeerSync
    strikes: StrikeReplicator
    crash_tracker: CrashTracker
    duties: Duties
    generations: GenerationCoordinator
    retries: SharedRetryBudget

    def handle_message(self, sender: str, message) -> None:
        """Passes a message to the part that handles it."""
        match message:
            case VmHeartbeat():
                self.peer_discovery.record_heartbeat(sender, message)
            case RecordsUpdate() | RecordsRequest() | FreshnessRequest() | FreshnessReply():
                self.peer_sync.handle_message(sender, message)
            case ConfigurationRequest() | ConfigurationUpdate():
                self.peer_sync.handle_message(sender, message)
            case StrikeReport() | StrikesCleared():
                self.strikes.handle_message(message)
            case CrashEvidenceUpdate() | CrashEvidenceRequest():
                self.crash_tracker.handle_message(message)
            case DutyAnnouncement() | UsageUpdate() | ZoneDemand():
                self.duties.handle_message(sender, message)
            case RetryLoanRequest() | RetryLoan():
                self.retries.handle_message(message)
            case _:
                self.generations.handle_message(sender, message)
