#include "process/roster.h"
