"""Names of the topics that entry VMs keep in the store for the agreed table and for claims."""

CONTROL_TOPIC = "bluebellpitch-control"
CLAIMS_TOPIC = "bluebellpitch-claims"
# Folds of the control topic, by zone of the VM that wrote them. The newest of each key stays when
# the records that it covers have expired.
SNAPSHOTS_TOPIC = "keyed.bluebellpitch-snapshots"
