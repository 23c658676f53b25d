#include "connection/event.h"
