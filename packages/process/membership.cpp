#include "process/membership.h"
