#pragma once

#include "endiveusher/kernel/daemon_core.h" // IWYU pragma: export
