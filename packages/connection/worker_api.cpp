#include "connection/worker_api.h"
