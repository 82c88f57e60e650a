"""The operators' document: validation, acceptance and distribution.

`geraniumstair node` uses this package.
"""

from geraniumstair.configuration._accept import CONFIGURATION_KEY
from geraniumstair.configuration._accept import Acceptance
from geraniumstair.configuration._accept import AcceptanceRefusal
from geraniumstair.configuration._accept import StoredConfiguration
from geraniumstair.configuration._accept import accept
from geraniumstair.configuration._accept import read_stored
from geraniumstair.configuration._difference import difference
from geraniumstair.configuration._edit import add_rollout
from geraniumstair.configuration._edit import set_availability_zone_state
from geraniumstair.configuration._fault import Fault
from geraniumstair.configuration._holder import ConfigurationHolder
from geraniumstair.configuration._parse import parse
from geraniumstair.configuration._parse import parse_model
from geraniumstair.configuration._record import AcceptedConfiguration
from geraniumstair.configuration._record import IndexedConfiguration
from geraniumstair.configuration._record import build_record
from geraniumstair.configuration._record import decode_record
from geraniumstair.configuration._record import encode_record
from geraniumstair.configuration._record import index_record
from geraniumstair.configuration._record import parse_record
from geraniumstair.configuration._record import record_text
from geraniumstair.configuration._topology import AvailabilityZoneSpec
from geraniumstair.configuration._topology import EndpointSpec
from geraniumstair.configuration._topology import Preference
from geraniumstair.configuration._topology import RolloutRule
from geraniumstair.configuration._topology import ServicePolicy
from geraniumstair.configuration._topology import ServiceSpec
from geraniumstair.configuration._topology import ShardKey
from geraniumstair.configuration._topology import Topology
from geraniumstair.configuration._topology import build_topology
from geraniumstair.configuration._watcher import ConfigurationWatcher

__all__ = [
    "CONFIGURATION_KEY",
    "Acceptance",
    "AcceptanceRefusal",
    "StoredConfiguration",
    "accept",
    "read_stored",
    "difference",
    "add_rollout",
    "set_availability_zone_state",
    "Fault",
    "ConfigurationHolder",
    "parse",
    "parse_model",
    "AcceptedConfiguration",
    "IndexedConfiguration",
    "decode_record",
    "encode_record",
    "index_record",
    "parse_record",
    "record_text",
    "build_record",
    "AvailabilityZoneSpec",
    "EndpointSpec",
    "Preference",
    "RolloutRule",
    "ServicePolicy",
    "ServiceSpec",
    "ShardKey",
    "Topology",
    "build_topology",
    "ConfigurationWatcher",
]
