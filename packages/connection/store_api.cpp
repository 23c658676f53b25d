#include "connection/store_api.h"
