#include "connection/outgoing_calls.h"
