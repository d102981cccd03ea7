// Compiles every public header of the kernel on its own.
#include "endiveusher/kernel.h"
