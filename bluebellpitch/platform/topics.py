"""Names of the store's topics for control records, claims and snapshots."""

CONTROL_TOPIC = "bluebellpitch-control"
CLAIMS_TOPIC = "bluebellpitch-claims"
# Snapshots of the control state, keyed by zone of the VM that wrote them. Keyed topics retain the
# newest record of each key, so a snapshot outlives the control records that it covers.
SNAPSHOTS_TOPIC = "keyed.bluebellpitch-snapshots"
