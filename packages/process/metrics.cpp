#include "process/metrics.h"
