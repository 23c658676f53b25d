#include "connection/front_end.h"
