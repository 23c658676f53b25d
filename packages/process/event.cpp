#include "process/event.h"
