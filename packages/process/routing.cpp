#include "process/routing.h"
