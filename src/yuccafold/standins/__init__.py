"""Stand-ins for the platform's services and for targets, over real HTTP/1.1.

Tests, the demo, the soak and the bench use them. A server has
``serve(*, task_status)``, which reports its address once it listens. All servers
but ``Relay`` are built from a frozen settings object.
"""

from __future__ import annotations

from yuccafold.standins._answer import Block
from yuccafold.standins._answer import ChatMessage
from yuccafold.standins._answer import answer_text
from yuccafold.standins._answer import answer_tokens
from yuccafold.standins._answer import prompt_blocks
from yuccafold.standins._batch import CostModel
from yuccafold.standins._batch import Priority
from yuccafold.standins._chat_answer import Usage
from yuccafold.standins._engine import EngineSettings
from yuccafold.standins._engine import ModelEngine
from yuccafold.standins._faults import NO_FAULTS
from yuccafold.standins._faults import Faults
from yuccafold.standins._faults import Malformed
from yuccafold.standins._generation import EngineLoad
from yuccafold.standins._generation import EngineRun
from yuccafold.standins._generation import GenerationSettings
from yuccafold.standins._generation import RunState
from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServedRequest
from yuccafold.standins._http import ServerSettings
from yuccafold.standins._orders import EngineState
from yuccafold.standins._orders import Order
from yuccafold.standins._orders import OrderKind
from yuccafold.standins._plain import PlainRun
from yuccafold.standins._plain import PlainService
from yuccafold.standins._plain import PlainSettings
from yuccafold.standins._plain import body_digest
from yuccafold.standins._platform_forms import HEALTH_PATH
from yuccafold.standins._platform_forms import TARGET_KEY_PREFIX
from yuccafold.standins._platform_forms import PublishedRoute
from yuccafold.standins._platform_forms import PublishedTarget
from yuccafold.standins._platform_forms import attempt_of
from yuccafold.standins._platform_forms import call_headers
from yuccafold.standins._platform_forms import configuration
from yuccafold.standins._platform_forms import first_attempt_of
from yuccafold.standins._platform_forms import has_caller_key
from yuccafold.standins._platform_forms import last_event_of
from yuccafold.standins._platform_forms import process_settings
from yuccafold.standins._platform_forms import shared_parts
from yuccafold.standins._platform_forms import take_up_headers
from yuccafold.standins._platform_store import PlatformStore
from yuccafold.standins._platform_store import PlatformStoreSettings
from yuccafold.standins._platform_store import StoreCopy
from yuccafold.standins._platform_target import PlatformTarget
from yuccafold.standins._platform_target import PlatformTargetSettings
from yuccafold.standins._platform_target import TargetMode
from yuccafold.standins._published import ServiceCall
from yuccafold.standins._relay import Relay
from yuccafold.standins._relay import RelayMode
from yuccafold.standins._settings_service import SettingsFaults
from yuccafold.standins._settings_service import SettingsService
from yuccafold.standins._settings_service import SettingsServiceSettings
from yuccafold.standins._vm_list import ListedState
from yuccafold.standins._vm_list import ListedTarget
from yuccafold.standins._vm_list import ListedVm
from yuccafold.standins._vm_list import VmList
from yuccafold.standins._vm_list import VmListSettings
from yuccafold.standins._weight_store import WeightStore
from yuccafold.standins._weight_store import WeightStoreBusyError
from yuccafold.standins._weight_store import WeightStoreSettings

__all__ = [
    "HEALTH_PATH",
    "NO_FAULTS",
    "TARGET_KEY_PREFIX",
    "Block",
    "BoundAddress",
    "ChatMessage",
    "CostModel",
    "EngineLoad",
    "EngineRun",
    "EngineSettings",
    "EngineState",
    "Exchange",
    "Faults",
    "GenerationSettings",
    "HttpServer",
    "ListedState",
    "ListedTarget",
    "ListedVm",
    "Malformed",
    "ModelEngine",
    "TargetMode",
    "Order",
    "OrderKind",
    "PlainRun",
    "PlainService",
    "PlainSettings",
    "PlatformStore",
    "PlatformStoreSettings",
    "PlatformTarget",
    "PlatformTargetSettings",
    "StoreCopy",
    "Priority",
    "PublishedRoute",
    "PublishedTarget",
    "Relay",
    "RelayMode",
    "RunState",
    "ServedRequest",
    "ServerSettings",
    "ServiceCall",
    "SettingsFaults",
    "SettingsService",
    "SettingsServiceSettings",
    "Usage",
    "VmList",
    "VmListSettings",
    "WeightStore",
    "WeightStoreBusyError",
    "WeightStoreSettings",
    "answer_text",
    "answer_tokens",
    "attempt_of",
    "body_digest",
    "call_headers",
    "configuration",
    "has_caller_key",
    "take_up_headers",
    "last_event_of",
    "first_attempt_of",
    "process_settings",
    "shared_parts",
    "prompt_blocks",
]
