#include "process/config_exchange.h"
