#include "process/scheduler.h"
